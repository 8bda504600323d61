#include <gtest/gtest.h>

#include <regex.h>
#include <sys/stat.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

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

/** All matches of the one group of the extended regular expression PATTERN. */
static std::vector<std::string>
matches (const std::string &text, const char *pattern)
{
  std::vector<std::string> found;
  regex_t regex;
  regmatch_t match[2];
  EXPECT_EQ (regcomp (&regex, pattern, REG_EXTENDED), 0) << pattern;
  for (const char *rest = text.c_str ();
       regexec (&regex, rest, 2, match, 0) == 0; rest += match[0].rm_eo)
    found.emplace_back (rest + match[1].rm_so, rest + match[1].rm_eo);
  regfree (&regex);
  return found;
}

static std::string
remove_char (std::string text, char unwanted)
{
  text.erase (std::remove (text.begin (), text.end (), unwanted), text.end ());
  return text;
}

/** Expect that LINE, which follows `jaystair`, parses if its options are
 * left out. */
static void
expect_statement (const std::string &line)
{
  std::vector<std::string> words;
  std::istringstream stream (remove_char (line, '\''));
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

TEST (Docs, DocumentedStatementsParse)
{
  const std::string guide = read_file (JAYSTAIR_SOURCE "/docs/OPERATORS.md");
  const std::vector<std::string> spans = matches (guide, "`jaystair ([^`]+)`");
  EXPECT_GT (spans.size (), 10u);
  for (const std::string &span : spans)
    expect_statement (span);
  std::string manual = read_file (JAYSTAIR_SOURCE "/docs/man/jaystair.1");
  manual.erase (0, manual.find (".SH EXAMPLES"));
  const std::vector<std::string> examples
      = matches (remove_char (manual, '\\'), "\njaystair ([^\n]+)");
  EXPECT_GT (examples.size (), 4u);
  for (const std::string &example : examples)
    expect_statement (example);
}

TEST (Docs, LinksOfGuideExist)
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

/** A command of a page, `$ jaystair ...`, and the output that follows it. */
struct example
{
  std::string command;
  std::string output;
};

static std::vector<example>
examples_of (const std::string &page)
{
  std::vector<example> found;
  std::istringstream lines (page);
  bool is_inside = false;
  for (std::string line; std::getline (lines, line);)
    {
      const bool is_code = line.rfind ("    ", 0) == 0;
      const bool is_command = line.rfind ("    $ ", 0) == 0;
      if (is_command)
        found.push_back ({ line.substr (6), "" });
      else if (is_code && is_inside)
        found.back ().output += line.substr (4) + "\n";
      is_inside = is_command || (is_code && is_inside);
    }
  return found;
}

/* Engineers follow the page during incidents.  A command that no longer works,
   or whose output differs from the page, costs the time that the page should
   save. */
TEST (Docs, ExamplesOfOperationsPrintDocumentedOutput)
{
  const std::string page = read_file (JAYSTAIR_SOURCE "/docs/OPERATIONS.md");
  const std::vector<example> examples = examples_of (page);
  EXPECT_GE (examples.size (), 4u);
  for (const example &one : examples)
    {
      ASSERT_EQ (one.command.rfind ("jaystair ", 0), 0u) << one.command;
      const std::string command = "cd " JAYSTAIR_SOURCE " && " JAYSTAIR_PROGRAM
                                  + one.command.substr (8) + " 2>&1";
      FILE *pipe = popen (command.c_str (), "r");
      ASSERT_NE (pipe, nullptr);
      std::string output;
      char block[4096];
      for (size_t n; (n = fread (block, 1, sizeof block, pipe)) > 0;)
        output.append (block, n);
      EXPECT_EQ (pclose (pipe), 0) << one.command;
      EXPECT_EQ (output, one.output) << one.command;
    }
}
