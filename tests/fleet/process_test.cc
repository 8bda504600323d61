/** Processes that a test program starts. */
#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "tests/harness/process.h"

namespace
{

constexpr int allocating_threads = 8;
constexpr int processes = 100;
constexpr size_t arguments = 5000;

/* Another thread holds the allocator's lock at the moment of the fork: a child
   that allocates memory before it executes its program waits forever. */
TEST (Process, StartsWhileOtherThreadsAllocate)
{
  std::vector<std::string> args (arguments, "x");
  args[0] = "/bin/true";
  std::atomic<bool> stopping{ false };
  std::vector<std::thread> threads;
  for (int i = 0; i < allocating_threads; i++)
    threads.emplace_back ([&stopping] {
      while (!stopping)
        for (size_t size = 1024; size <= 65536; size *= 2)
          std::vector<char> block (size);
    });
  for (int i = 0; i < processes; i++)
    EXPECT_EQ (Process (args).wait (), 0);
  stopping = true;
  for (std::thread &thread : threads)
    thread.join ();
}

} // namespace
