/** The README's tour and the links of all pages, as a newcomer meets them. */
#include <gtest/gtest.h>

#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>
#include <sys/file.h>
#include <unistd.h>

#include "tests/harness/process.h"

namespace
{

std::string
read (const std::filesystem::path &path)
{
  std::ifstream in (path);
  std::stringstream text;
  text << in.rdbuf ();
  return text.str ();
}

/* A newcomer copies the tour's lines.  They must work as printed, from the
   top of the tree; only the build folder is this test's own. */
TEST (Tour, LinesOfTheReadmeWork)
{
  const std::string readme = read (SOURCE_DIR "/README.md");
  const std::string start = "```sh tour\n";
  const size_t from = readme.find (start);
  ASSERT_NE (from, std::string::npos);
  /* The tour's ports are fixed, and another build may run it now. */
  const std::string lock_path
      = "/tmp/jaystair-tour-" + std::to_string (getuid ()) + ".lock";
  const int lock
      = open (lock_path.c_str (), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
  ASSERT_EQ (flock (lock, LOCK_EX), 0);
  const size_t first = from + start.size ();
  std::string lines
      = readme.substr (first, readme.find ("```", first) - first);
  lines = std::regex_replace (lines, std::regex ("build/"), BUILD_DIR "/");
  lines = std::regex_replace (lines, std::regex ("host\\.log"), "/dev/null");
  /* timeout(1) ends the jobs of the tour along with it. */
  Process tour ({ "/usr/bin/timeout", "200", "/bin/bash", "-ec",
                  "cd " SOURCE_DIR "\n" + lines });
  EXPECT_EQ (tour.wait (), 0) << tour.tail (100);
  close (lock);
  const std::string output = tour.tail (1000);
  EXPECT_NE (output.find ("\"service\":\"calendar\""), std::string::npos);
  EXPECT_NE (output.find ("Jaystair-Outcome: ran"), std::string::npos);
  EXPECT_NE (output.find ("reinstate calendar/calendar-2"), std::string::npos)
      << output;
}

TEST (Tour, LinksOfAllPagesLeadSomewhere)
{
  const std::filesystem::path top = SOURCE_DIR;
  std::vector<std::filesystem::path> pages
      = { top / "README.md", top / "CONTRIBUTING.md" };
  for (const auto &entry : std::filesystem::directory_iterator (top / "docs"))
    if (entry.path ().extension () == ".md")
      pages.push_back (entry.path ());
  const std::regex link ("\\]\\(([^)#:]+)(#[^)]*)?\\)");
  for (const auto &page : pages)
    {
      const std::string text = read (page);
      for (std::sregex_iterator at (text.begin (), text.end (), link), end;
           at != end; ++at)
        EXPECT_TRUE (
            std::filesystem::exists (page.parent_path () / (*at)[1].str ()))
            << page << " links " << (*at)[1];
    }
}

} // namespace
