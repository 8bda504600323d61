/** @file
 * A child process whose output lines a test can wait for.
 */
#ifndef TESTS_HARNESS_PROCESS_H
#define TESTS_HARNESS_PROCESS_H

#include <sys/types.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/** Starts at construction; killed at destruction if it still runs. */
class Process
{
public:
  explicit Process (std::vector<std::string> args);
  ~Process ();
  Process (const Process &) = delete;
  Process &operator= (const Process &) = delete;

  /** Wait until a line holds all PARTS, from the line numbered *FROM on;
   * *FROM then numbers the line behind it.  False after a generous limit or
   * when the output ends. */
  bool wait_line (const std::vector<std::string> &parts,
                  size_t *from = nullptr);
  /** How many lines so far hold all PARTS. */
  size_t count_lines (const std::vector<std::string> &parts);
  /** The lines so far that begin with PREFIX. */
  std::vector<std::string> lines_with (const std::string &prefix);
  /** The number of lines so far: where to wait from for what comes next. */
  size_t line_count ();
  /** The last LINES lines, for a failure's message. */
  std::string tail (size_t lines = 40);

  void signal (int number);
  /** Wait for the end; the exit code, or minus the signal's number. */
  int wait ();
  /** SIGKILL and wait. */
  void kill ();
  bool
  running () const
  {
    return pid_ > 0;
  }
  pid_t
  pid () const
  {
    return pid_;
  }

private:
  void read_lines (int fd);

  pid_t pid_ = -1;
  int exit_code_ = 0;
  std::thread reader_;
  std::mutex mutex_;
  std::condition_variable output_cond_;
  std::vector<std::string> lines_;
  bool ended_ = false;
};

/** Called whenever any process wrote a line; lets wait_until() look again. */
void notify_output ();

/** Look at CONDITION whenever some process writes a line (and now and then
 * besides) until it holds; false after a generous limit. */
bool wait_until (const std::function<bool ()> &condition, int limit_s = 60);

#endif
