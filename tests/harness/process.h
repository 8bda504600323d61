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

/** Started by the constructor, killed by the destructor if it still runs. */
class Process
{
public:
  explicit Process (std::vector<std::string> args);
  ~Process ();
  Process (const Process &) = delete;
  Process &operator= (const Process &) = delete;

  /** Wait for a line that contains all PARTS, starting at line number *FROM;
   * *FROM is then set to the line after it.
   * @return false after a minute, or when the output ends */
  bool wait_line (const std::vector<std::string> &parts,
                  size_t *from = nullptr);
  /** The number of lines so far that contain all PARTS. */
  size_t count_lines (const std::vector<std::string> &parts);
  /** The lines so far that contain all PARTS. */
  std::vector<std::string> lines (const std::vector<std::string> &parts);
  /** The lines so far that start with PREFIX. */
  std::vector<std::string> lines_with (const std::string &prefix);
  /** The number of lines so far; as *FROM of wait_line() it selects the lines
   * to come. */
  size_t line_count ();
  /** The last LINES lines, for a failure's message. */
  std::string tail (size_t lines = 40);

  void signal (int number);
  /** Wait until it exits.
   * @return the exit code, or the negated number of the signal */
  int wait ();
  /** Send SIGKILL and wait. */
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

/** Make wait_until() evaluate its condition again; called for each line that
 * any process prints. */
void notify_output ();

/** Evaluate CONDITION whenever a process prints a line, and periodically,
 * until it holds; false after LIMIT_S seconds. */
bool wait_until (const std::function<bool ()> &condition, int limit_s = 60);

#endif
