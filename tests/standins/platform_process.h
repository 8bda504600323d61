/** @file
 * The stand-in platform as a child process of a test.
 */
#ifndef STANDINS_PLATFORM_PROCESS_H
#define STANDINS_PLATFORM_PROCESS_H

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <string>

#include <curl/curl.h>

/** Started by the constructor, stopped by the destructor. */
class PlatformProcess
{
public:
  std::string address; /**< IP:PORT of the API */
  std::string
      control; /**< IP:PORT of the control endpoint, open in an outage */

  PlatformProcess ()
  {
    int ends[2];
    if (pipe (ends) != 0 || (pid_ = fork ()) < 0)
      abort ();
    if (pid_ == 0)
      {
        prctl (PR_SET_PDEATHSIG, SIGKILL);
        dup2 (ends[1], STDOUT_FILENO);
        close (ends[0]);
        close (ends[1]);
        execl (STANDIN_PLATFORM, STANDIN_PLATFORM, "--listen", "127.0.0.1:0",
               "--control", "127.0.0.1:0", nullptr);
        _exit (127);
      }
    close (ends[1]);
    FILE *out = fdopen (ends[0], "r");
    address = read_address (out, " listening %63s");
    control = read_address (out, " control %63s");
    fclose (out);
  }

  ~PlatformProcess ()
  {
    kill (pid_, SIGTERM);
    waitpid (pid_, nullptr, 0);
  }

  PlatformProcess (const PlatformProcess &) = delete;
  PlatformProcess &operator= (const PlatformProcess &) = delete;

  /** Send a control request, such as "down=1".
   * @return the response: the numbers of calls so far, as JSON */
  std::string
  tell (const std::string &query) const
  {
    std::string body;
    CURL *easy = curl_easy_init ();
    const std::string url = "http://" + control + "/control?" + query;
    curl_easy_setopt (easy, CURLOPT_URL, url.c_str ());
    curl_easy_setopt (easy, CURLOPT_PROXY, "");
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, "");
    curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append);
    curl_easy_setopt (easy, CURLOPT_WRITEDATA, &body);
    curl_easy_perform (easy);
    curl_easy_cleanup (easy);
    return body;
  }

  /** The number of calls of one kind: "reads", "writes" or "watches"; -1 on
   * failure. */
  long
  calls (const std::string &key) const
  {
    const std::string body = tell ("");
    const size_t at = body.find ("\"" + key + "\":");
    if (at == std::string::npos)
      return -1;
    return strtol (body.c_str () + at + key.size () + 3, nullptr, 10);
  }

private:
  pid_t pid_ = -1;

  static size_t
  append (char *data, size_t size, size_t count, void *body)
  {
    static_cast<std::string *> (body)->append (data, size * count);
    return size * count;
  }

  static std::string
  read_address (FILE *out, const char *format)
  {
    char text[64];
    if (fscanf (out, format, text) != 1)
      abort ();
    return text;
  }
};

#endif
