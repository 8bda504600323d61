#include "tests/harness/process.h"

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <fcntl.h>
#include <unistd.h>

namespace
{

constexpr std::chrono::seconds line_timeout{ 60 };
/* For conditions that no line announces, such as a counter of a stand-in. */
constexpr std::chrono::milliseconds poll_interval{ 50 };

std::mutex any_output_mutex;
std::condition_variable any_output_cond;

bool
contains_all (const std::string &line, const std::vector<std::string> &parts)
{
  for (const std::string &part : parts)
    if (line.find (part) == std::string::npos)
      return false;
  return true;
}

/* Runs between fork() and exec, where the locks of the parent's other threads
   stay locked: only system calls, no memory allocation. */
[[noreturn]] void
run_child (char *const *argv, int out)
{
  /* A killed test program must not leave its children running. */
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  dup2 (out, STDOUT_FILENO);
  dup2 (out, STDERR_FILENO);
  execv (argv[0], argv);
  static const char message[] = "the program can't be executed\n";
  const ssize_t written = write (STDERR_FILENO, message, sizeof message - 1);
  (void)written;
  _exit (127);
}

} // namespace

void
notify_output ()
{
  any_output_cond.notify_all ();
}

bool
wait_until (const std::function<bool ()> &condition, int limit_s)
{
  const auto end
      = std::chrono::steady_clock::now () + std::chrono::seconds (limit_s);
  while (!condition ())
    {
      if (std::chrono::steady_clock::now () > end)
        return false;
      std::unique_lock<std::mutex> lock (any_output_mutex);
      any_output_cond.wait_for (lock, poll_interval);
    }
  return true;
}

Process::Process (std::vector<std::string> args)
{
  int ends[2];
  if (pipe2 (ends, O_CLOEXEC) != 0)
    abort ();
  std::vector<char *> argv;
  for (std::string &arg : args)
    argv.push_back (arg.data ());
  argv.push_back (nullptr);
  pid_ = fork ();
  if (pid_ == 0)
    run_child (argv.data (), ends[1]);
  close (ends[1]);
  reader_ = std::thread ([this, fd = ends[0]] { read_lines (fd); });
}

Process::~Process ()
{
  kill ();
}

void
Process::read_lines (int fd)
{
  FILE *in = fdopen (fd, "r");
  char *line = nullptr;
  size_t size = 0;
  for (ssize_t n; (n = getline (&line, &size, in)) > 0;)
    {
      std::lock_guard<std::mutex> lock (mutex_);
      lines_.emplace_back (line, static_cast<size_t> (n));
      output_cond_.notify_all ();
      notify_output ();
    }
  free (line);
  fclose (in);
  std::lock_guard<std::mutex> lock (mutex_);
  ended_ = true;
  output_cond_.notify_all ();
}

bool
Process::wait_line (const std::vector<std::string> &parts, size_t *from)
{
  std::unique_lock<std::mutex> lock (mutex_);
  size_t at = from != nullptr ? *from : 0;
  const auto end = std::chrono::steady_clock::now () + line_timeout;
  for (;;)
    {
      for (; at < lines_.size (); at++)
        if (contains_all (lines_[at], parts))
          {
            if (from != nullptr)
              *from = at + 1;
            return true;
          }
      if (ended_
          || output_cond_.wait_until (lock, end) == std::cv_status::timeout)
        return false;
    }
}

std::vector<std::string>
Process::lines (const std::vector<std::string> &parts)
{
  std::lock_guard<std::mutex> lock (mutex_);
  std::vector<std::string> found;
  for (const std::string &line : lines_)
    if (contains_all (line, parts))
      found.push_back (line);
  return found;
}

size_t
Process::count_lines (const std::vector<std::string> &parts)
{
  return lines (parts).size ();
}

std::vector<std::string>
Process::lines_with (const std::string &prefix)
{
  std::lock_guard<std::mutex> lock (mutex_);
  std::vector<std::string> found;
  for (const std::string &line : lines_)
    if (line.compare (0, prefix.size (), prefix) == 0)
      found.push_back (line);
  return found;
}

size_t
Process::line_count ()
{
  std::lock_guard<std::mutex> lock (mutex_);
  return lines_.size ();
}

/* Skips the lines of single requests, which would displace all others in a
   failure's message. */
std::string
Process::tail (size_t lines)
{
  std::lock_guard<std::mutex> lock (mutex_);
  std::string text;
  for (size_t i = lines_.size (); i > 0 && lines > 0; i--)
    {
      const std::string &line = lines_[i - 1];
      if (line.find ("\"route\"") != std::string::npos)
        continue;
      text.insert (0, line);
      lines--;
    }
  return text;
}

void
Process::signal (int number)
{
  if (pid_ > 0)
    ::kill (pid_, number);
}

int
Process::wait ()
{
  if (pid_ > 0)
    {
      int state;
      while (waitpid (pid_, &state, 0) < 0 && errno == EINTR)
        continue;
      exit_code_ = WIFEXITED (state) ? WEXITSTATUS (state) : -WTERMSIG (state);
      pid_ = -1;
    }
  if (reader_.joinable ())
    reader_.join ();
  return exit_code_;
}

void
Process::kill ()
{
  signal (SIGKILL);
  wait ();
}
