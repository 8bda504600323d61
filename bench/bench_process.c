#include "bench/bench_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  PATH_SIZE = 64,
  LINE_SIZE = 256
};

pid_t
bench_process_start (const char *const *argv)
{
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, STDOUT_FILENO, "/dev/null",
                                    O_WRONLY, 0);
  posix_spawn_file_actions_addopen (&actions, STDERR_FILENO, "/dev/null",
                                    O_WRONLY, 0);
  pid_t pid;
  const int error = posix_spawn (&pid, argv[0], &actions, NULL,
                                 (char *const *)(uintptr_t)argv, environ);
  posix_spawn_file_actions_destroy (&actions);
  return error == 0 ? pid : -1;
}

void
bench_process_stop (pid_t pid)
{
  if (pid <= 0)
    return;
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
}

uint64_t
bench_process_rss_kb (pid_t pid)
{
  char path[PATH_SIZE];
  char line[LINE_SIZE];
  unsigned long long rss_kb = 0;
  snprintf (path, sizeof path, "/proc/%d/status", (int)pid);
  FILE *in = fopen (path, "r");
  if (in == NULL)
    return 0;
  while (fgets (line, sizeof line, in) != NULL)
    if (sscanf (line, "VmRSS: %llu", &rss_kb) == 1)
      break;
  fclose (in);
  return rss_kb;
}

uint16_t
bench_free_port (void)
{
  struct sockaddr_in in
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof in;
  const int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return 0;
  const int one = 1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  uint16_t port = 0;
  if (bind (fd, (struct sockaddr *)&in, sizeof in) == 0
      && getsockname (fd, (struct sockaddr *)&in, &size) == 0)
    port = ntohs (in.sin_port);
  close (fd);
  return port;
}
