#include <gtest/gtest.h>

#include <fstream>
#include <regex>
#include <sstream>
#include <string>
#include <vector>

#include <sys/stat.h>

extern "C"
{
#include "ctl/statement.h"
}

static std::string
read_file (const std::string &path)
{
  std::ifstream file (path);
  EXPECT_TRUE (file.good ()) << path;
  std::ostringstream text;
  text << file.rdbuf ();
  return text.str ();
}

static std::vector<std::string>
matches (const std::string &text, const char *pattern)
{
  std::vector<std::string> found;
  const std::regex regex (pattern);
  for (std::sregex_iterator i (text.begin (), text.end (), regex), end;
       i != end; ++i)
    found.push_back ((*i)[1]);
  return found;
}

/** Does LINE, what follows `jaystair`, parse once its options are gone? */
static void
expect_statement (const std::string &line)
{
  std::vector<std::string> words;
  std::istringstream stream (std::regex_replace (line, std::regex ("'"), ""));
  for (std::string word; stream >> word;)
    if (word == "--host" || word == "--secret-file")
      stream >> word;
    else if (word.rfind ("--", 0) != 0)
      words.push_back (word == "N" ? "7" : word);
  std::vector<const char *> pointers;
  for (const std::string &word : words)
    pointers.push_back (word.c_str ());
  struct statement statement;
  EXPECT_EQ (statement_parse (pointers.data (), pointers.size (), &statement),
             STATUS_OK)
      << line << ": " << status_message ();
}

TEST (Docs, EveryDocumentedStatementIsOne)
{
  const std::string guide = read_file (JAYSTAIR_SOURCE "/docs/OPERATORS.md");
  const std::vector<std::string> spans = matches (guide, "`jaystair ([^`]+)`");
  EXPECT_GT (spans.size (), 10u);
  for (const std::string &span : spans)
    expect_statement (span);
  std::string manual = read_file (JAYSTAIR_SOURCE "/docs/man/jaystair.1");
  manual.erase (0, manual.find (".SH EXAMPLES"));
  const std::vector<std::string> examples
      = matches (std::regex_replace (manual, std::regex ("\\\\-"), "-"),
                 "\njaystair ([^\n]+)");
  EXPECT_GT (examples.size (), 4u);
  for (const std::string &example : examples)
    expect_statement (example);
}

TEST (Docs, EveryLinkOfTheGuideLeadsSomewhere)
{
  const std::string guide = read_file (JAYSTAIR_SOURCE "/docs/OPERATORS.md");
  const std::vector<std::string> links = matches (guide, "\\]\\(([^)#]+)\\)");
  EXPECT_GT (links.size (), 3u);
  for (const std::string &link : links)
    {
      struct stat info;
      const std::string path = JAYSTAIR_SOURCE "/docs/" + link;
      EXPECT_EQ (stat (path.c_str (), &info), 0) << path;
    }
}
