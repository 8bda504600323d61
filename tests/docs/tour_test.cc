/** The commands of the README's tour and the links of all pages. */
#include <gtest/gtest.h>

#include <fcntl.h>
#include <filesystem>
#include <fstream>
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

void
replace_all (std::string &text, const std::string &from, const std::string &to)
{
  for (size_t at = text.find (from); at != std::string::npos;
       at = text.find (from, at + to.size ()))
    text.replace (at, from.size (), to);
}

/* The files that TEXT links to, without fragments. */
std::vector<std::string>
links_of (const std::string &text)
{
  std::vector<std::string> links;
  for (size_t at = text.find ("]("); at != std::string::npos;
       at = text.find ("](", at + 1))
    {
      const size_t end = text.find (')', at);
      const std::string link = text.substr (at + 2, end - at - 2);
      if (link.find (':') == std::string::npos)
        links.push_back (link.substr (0, link.find ('#')));
    }
  return links;
}

/* The commands of the tour must work as printed, at the top of the tree; only
   the build folder is replaced. */
TEST (Tour, ReadmeCommandsWork)
{
  const std::string readme = read (SOURCE_DIR "/README.md");
  const std::string start = "```sh tour\n";
  const size_t from = readme.find (start);
  ASSERT_NE (from, std::string::npos);
  /* The tour's ports are fixed, and another build may run it at the same time.
   */
  const std::string lock_path
      = "/tmp/jaystair-tour-" + std::to_string (getuid ()) + ".lock";
  const int lock
      = open (lock_path.c_str (), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
  ASSERT_EQ (flock (lock, LOCK_EX), 0);
  const size_t first = from + start.size ();
  std::string lines
      = readme.substr (first, readme.find ("```", first) - first);
  replace_all (lines, "build/", BUILD_DIR "/");
  replace_all (lines, "host.log", "/dev/null");
  /* timeout(1) also ends the background jobs of the tour. */
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

TEST (Tour, LinkedFilesExist)
{
  const std::filesystem::path top = SOURCE_DIR;
  std::vector<std::filesystem::path> pages
      = { top / "README.md", top / "CONTRIBUTING.md" };
  for (const auto &entry : std::filesystem::directory_iterator (top / "docs"))
    if (entry.path ().extension () == ".md")
      pages.push_back (entry.path ());
  size_t checked = 0;
  for (const auto &page : pages)
    for (const std::string &link : links_of (read (page)))
      {
        checked++;
        EXPECT_TRUE (std::filesystem::exists (page.parent_path () / link))
            << page << " links " << link;
      }
  EXPECT_GT (checked, 5u);
}

} // namespace
