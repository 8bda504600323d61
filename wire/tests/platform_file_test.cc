#include <gtest/gtest.h>

#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "wire/tests/platform_outcome.h"

extern "C"
{
#include "wire/platform_file.h"
}

namespace
{

const char *const two_services
    = "{ // the quick start\n"
      "\"services\":[{\"name\":\"a\",\"targets\":[]},"
      "{\"name\":\"b\",\"targets\":[],\"floor_capacity\":2}]}";
const char *const raised_floor
    = "{\"name\":\"a\",\"targets\":[],\"floor_capacity\":7}";

class PlatformFile : public testing::Test
{
protected:
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct platform *platform = nullptr;
  std::string folder;
  std::string path;

  void
  SetUp () override
  {
    char name[] = "/tmp/platform-file-XXXXXX";
    folder = mkdtemp (name);
    path = folder + "/platform.json";
  }

  void
  TearDown () override
  {
    platform_destroy (platform);
    ev_loop_destroy (loop);
    unlink ((path + ".new").c_str ());
    unlink (path.c_str ());
    rmdir (folder.c_str ());
  }

  enum status
  load (const std::string &text, bool read_only = false)
  {
    std::ofstream (path) << text;
    return load_again (read_only);
  }

  enum status
  load_again (bool read_only = false)
  {
    platform_destroy (platform);
    struct platform_file_options options = {};
    options.loop = loop;
    options.path = path.c_str ();
    options.read_only = read_only;
    return platform_file_create (&options, &platform);
  }

  std::string
  file_text () const
  {
    std::stringstream text;
    text << std::ifstream (path).rdbuf ();
    return text.str ();
  }

  outcome
  finish (outcome *end)
  {
    EXPECT_EQ (end->ends, 0) << "completed within the call";
    while (end->ends == 0)
      ev_run (loop, EVRUN_ONCE);
    return *end;
  }

  outcome
  get (const char *kind, const char *name)
  {
    outcome end;
    platform_get (platform, kind, name, on_end, &end);
    return finish (&end);
  }

  outcome
  put (const char *kind, const char *name, uint64_t expected,
       const char *value)
  {
    outcome end;
    platform_put (platform, kind, name, expected, value, on_end, &end);
    return finish (&end);
  }
};

TEST_F (PlatformFile, ServicesAreListed)
{
  ASSERT_EQ (load (two_services), STATUS_OK) << status_message ();
  outcome end;
  platform_list (platform, "service", PLATFORM_READ_LATEST, on_end, &end);
  finish (&end);
  EXPECT_EQ (end.status, STATUS_OK);
  EXPECT_EQ (end.names (), (std::vector<std::string>{ "a", "b" }));
  EXPECT_EQ (end.revision, 2u);
  EXPECT_EQ (get ("service", "c").status, STATUS_NOT_FOUND);
}

TEST_F (PlatformFile, AWriteIsInTheFile)
{
  ASSERT_EQ (load (two_services), STATUS_OK);
  const uint64_t version = get ("service", "a").objects.at (0).version;
  outcome end = put ("service", "a", version, raised_floor);
  ASSERT_EQ (end.status, STATUS_OK) << end.message;
  EXPECT_GT (end.objects.at (0).version, version);
  end = put ("service", "a", version, raised_floor);
  EXPECT_EQ (end.status, STATUS_REFUSED);
  EXPECT_EQ (end.objects.at (0).value, raised_floor);
  EXPECT_EQ (put ("service", "c", PLATFORM_VERSION_NONE,
                  "{\"name\":\"c\",\"targets\":[]}")
                 .status,
             STATUS_OK);
  EXPECT_EQ (put ("service", "b", get ("service", "b").objects.at (0).version,
                  nullptr)
                 .status,
             STATUS_OK);
  ASSERT_EQ (load_again (), STATUS_OK) << status_message ();
  EXPECT_NE (get ("service", "a").objects.at (0).value.find ("7"),
             std::string::npos);
  EXPECT_EQ (get ("service", "b").status, STATUS_NOT_FOUND);
  EXPECT_EQ (get ("service", "c").status, STATUS_OK);
}

/* An accepted write, such as a drain, must survive a restart of the host, so a
   write that can't be stored in the file must be refused and must not change
   memory either. */
TEST_F (PlatformFile, AWriteThatCannotBeStoredIsRefused)
{
  ASSERT_EQ (load (two_services, true), STATUS_OK);
  outcome end = put ("service", "a", 1, raised_floor);
  EXPECT_EQ (end.status, STATUS_REFUSED);
  EXPECT_NE (end.message.find ("read only"), std::string::npos);
  ASSERT_EQ (load_again (), STATUS_OK);
  ASSERT_EQ (mkdir ((path + ".new").c_str (), 0700), 0);
  end = put ("service", "a", 1, raised_floor);
  rmdir ((path + ".new").c_str ());
  EXPECT_EQ (end.status, STATUS_REFUSED);
  EXPECT_NE (end.message.find ("nothing was changed"), std::string::npos)
      << end.message;
  EXPECT_EQ (get ("service", "a").objects.at (0).version, 1u);
  EXPECT_EQ (file_text (), two_services);
}

TEST_F (PlatformFile, AWriteThatWouldNotLoadIsRefused)
{
  ASSERT_EQ (load (two_services), STATUS_OK);
  EXPECT_EQ (put ("service", "a", 1, "{\"name\":\"a\"}").status,
             STATUS_INVALID);
  EXPECT_EQ (put ("service", "a", 1, "{\"name\":\"x\",\"targets\":[]}").status,
             STATUS_INVALID);
  EXPECT_EQ (file_text (), two_services);
}

TEST_F (PlatformFile, WatchEndsWithTheChange)
{
  ASSERT_EQ (load (two_services), STATUS_OK);
  outcome watched;
  outcome other;
  platform_watch (platform, "service", 2, 60000, PLATFORM_READ_LATEST, on_end,
                  &watched);
  platform_watch (platform, "ejection", 0, 60000, PLATFORM_READ_LATEST, on_end,
                  &other);
  EXPECT_EQ (put ("service", "b", 2, nullptr).status, STATUS_OK);
  while (watched.ends == 0)
    ev_run (loop, EVRUN_ONCE);
  EXPECT_EQ (watched.status, STATUS_OK);
  EXPECT_EQ (watched.names (), (std::vector<std::string>{ "b" }));
  EXPECT_EQ (watched.objects.at (0).value, "(removed)");
  EXPECT_EQ (other.ends, 0);
  platform_cancel (platform, &other);
  outcome quiet;
  platform_watch (platform, "service", 3, 1, PLATFORM_READ_LATEST, on_end,
                  &quiet);
  finish (&quiet);
  EXPECT_EQ (quiet.status, STATUS_OK);
  EXPECT_TRUE (quiet.names ().empty ());
  outcome unknown;
  platform_watch (platform, "service", 99, 1, PLATFORM_READ_LATEST, on_end,
                  &unknown);
  EXPECT_EQ (finish (&unknown).status, STATUS_REFUSED);
}

TEST_F (PlatformFile, OtherKindsStayInMemory)
{
  ASSERT_EQ (load (two_services, true), STATUS_OK);
  EXPECT_EQ (put ("ejection", "a", PLATFORM_VERSION_NONE, "{}").status,
             STATUS_OK);
  EXPECT_EQ (get ("ejection", "a").objects.at (0).value, "{}");
  EXPECT_EQ (get ("service", "a").objects.at (0).version, 1u);
  EXPECT_EQ (file_text (), two_services);
}

TEST_F (PlatformFile, CancelledCallsDoNotCallBack)
{
  ASSERT_EQ (load (two_services), STATUS_OK);
  outcome cancelled;
  platform_watch (platform, "service", 2, 60000, PLATFORM_READ_LATEST, on_end,
                  &cancelled);
  platform_get (platform, "service", "a", on_end, &cancelled);
  platform_cancel (platform, &cancelled);
  EXPECT_EQ (get ("service", "a").status, STATUS_OK);
  EXPECT_EQ (cancelled.ends, 0);
}

TEST_F (PlatformFile, EveryTruncatedFileIsRefused)
{
  const std::string full_text = two_services;
  for (size_t size = 0; size < full_text.size (); size++)
    EXPECT_EQ (load (full_text.substr (0, size)), STATUS_INVALID) << size;
}

TEST_F (PlatformFile, ErrorsNameThePosition)
{
  const std::pair<const char *, const char *> bad[] = {
    { "{}", "services: expected an array" },
    { "{\"services\":[],\"hosts\":1}", "hosts: no such option" },
    { "{\"services\":[{\"name\":\"a\"}]}", "services[0]: targets: expected" },
    { "{\"services\":[{\"name\":\"a\",\"targets\":[]},"
      "{\"name\":\"a\",\"targets\":[]}]}",
      "services[1]: name: expected a unique name" },
  };
  for (const auto &[text, part] : bad)
    {
      EXPECT_EQ (load (text), STATUS_INVALID);
      EXPECT_NE (strstr (status_message (), part), nullptr)
          << status_message ();
      EXPECT_NE (strstr (status_message (), path.c_str ()), nullptr);
    }
  unlink (path.c_str ());
  EXPECT_EQ (load_again (), STATUS_SYSTEM);
}

} // namespace
