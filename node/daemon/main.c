#define LOG_MODULE "main"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <argtable2.h>
#include <curl/curl.h>
#include <ev.h>

#include "base/log.h"
#include "node/daemon/host.h"
#include "node/host_settings.h"

/* Exit codes, as in jaystaird(8). */
enum
{
  EXIT_USAGE = 2,
};

/* Interval of checks of the settings file; each is a single system call. */
static const double SETTINGS_CHECK_SECONDS = 5.0;

/** The command line. */
struct command_line
{
  struct arg_file *settings;
  struct arg_lit *check;
  struct arg_lit *help;
  struct arg_lit *version;
  struct arg_end *end;
};

/** State of the running program. */
struct program
{
  struct ev_loop *loop;
  struct host *host;
  const char *settings_path;
  struct ev_signal on_term;
  struct ev_signal on_int;
  struct ev_signal on_hup;
  struct ev_stat settings_stat; /* of the settings file */
  bool is_leaving;
};

static void
configure_log (const struct host_settings *settings)
{
  const struct log_options options = {
    .level = settings->log_level,
    .json = settings->log_json,
    .fd = STDOUT_FILENO,
    .repeats_per_second = settings->log_repeats_per_second,
    .warnings_per_second = settings->log_warnings_per_second,
  };
  log_configure (&options);
}

static void
host_left_cb (void *owner)
{
  struct program *program = owner;
  ev_break (program->loop, EVBREAK_ALL);
}

/* Supervisors may send SIGTERM more than once, such as to a process and to its
   group; only an interrupt from a terminal asks for an end at once. */
static void
terminate_cb (struct ev_loop *loop, struct ev_signal *watcher, int events)
{
  struct program *program = watcher->data;
  const bool is_repeated = program->is_leaving;
  LOG_INFO ("leave", LOG_INT ("signal", watcher->signum),
            LOG_INT ("repeated", is_repeated),
            LOG_INT ("late_max_ms", host_signal_late_max_ms (program->host)));
  program->is_leaving = true;
  if (is_repeated && watcher->signum == SIGINT)
    host_stop_waiting (program->host);
  else
    host_begin_leaving (program->host, host_left_cb, program);
}

static void
reload (struct program *program)
{
  struct host_settings settings;
  if (host_settings_load (program->settings_path, &settings) != STATUS_OK)
    {
      LOG_ERR ("reload-refused", LOG_STR ("why", status_message ()),
               LOG_STR ("in-force", "the previous settings"));
      return;
    }
  configure_log (&settings);
  host_reload (program->host, &settings);
}

static void
hangup_cb (struct ev_loop *loop, struct ev_signal *watcher, int events)
{
  reload (watcher->data);
}

static void
settings_changed_cb (struct ev_loop *loop, struct ev_stat *watcher, int events)
{
  reload (watcher->data);
}

static void
watch_signal (struct program *program, struct ev_signal *watcher, int number,
              void (*callback) (struct ev_loop *, struct ev_signal *, int))
{
  ev_signal_init (watcher, callback, number);
  watcher->data = program;
  ev_signal_start (program->loop, watcher);
}

static int
run (const char *path, const struct host_settings *settings)
{
  struct program program
      = { .loop = ev_default_loop (0), .settings_path = path };
  const struct host_options options
      = { .loop = program.loop, .settings = settings };
  signal (SIGPIPE, SIG_IGN);
  /* The host accepts connections from its creation on, which a signal to leave
     must not reset.  It is handled when the loop runs. */
  watch_signal (&program, &program.on_term, SIGTERM, terminate_cb);
  watch_signal (&program, &program.on_int, SIGINT, terminate_cb);
  watch_signal (&program, &program.on_hup, SIGHUP, hangup_cb);
  if (host_create (&options, &program.host) != STATUS_OK)
    {
      fprintf (stderr, "jaystaird: %s\n", status_message ());
      return EXIT_FAILURE;
    }
  ev_stat_init (&program.settings_stat, settings_changed_cb, path,
                SETTINGS_CHECK_SECONDS);
  program.settings_stat.data = &program;
  ev_stat_start (program.loop, &program.settings_stat);
  LOG_INFO ("serving", LOG_STR ("host", settings->name),
            LOG_STR ("dc", settings->dc),
            LOG_STR ("caller", settings->caller_address),
            LOG_STR ("peer", settings->peer_address),
            LOG_STR ("operator", settings->operator_address));
  ev_run (program.loop, 0);
  host_destroy (program.host);
  LOG_INFO ("over", LOG_STR ("host", settings->name));
  ev_loop_destroy (program.loop);
  return EXIT_SUCCESS;
}

static void
print_help (struct command_line *line, void **table)
{
  fputs ("Usage: jaystaird", stdout);
  arg_print_syntax (stdout, table, "\n");
  fputs ("One entry host of a jaystair fleet.\n\n", stdout);
  arg_print_glossary (stdout, table, "  %-22s %s\n");
  fputs ("\nSignals: TERM and INT leave gracefully (INT while it leaves: "
         "at once), HUP reloads the log settings.\n"
         "Exit codes: 0 left as asked, 1 can't start, 2 wrong usage or "
         "settings.\n",
         stdout);
}

static int
check_and_run (const struct command_line *line)
{
  const char *path = line->settings->filename[0];
  struct host_settings settings;
  if (host_settings_load (path, &settings) != STATUS_OK)
    {
      fprintf (stderr, "jaystaird: %s\n", status_message ());
      return EXIT_USAGE;
    }
  if (line->check->count > 0)
    {
      printf ("%s: in order\n", path);
      return EXIT_SUCCESS;
    }
  configure_log (&settings);
  return run (path, &settings);
}

/* Until the handler of SIGHUP is installed, the signal's default action would
   end the process: a host whose settings change during its start would be
   gone.  Ignoring the signal loses nothing, since the settings are read after
   that. */
static void
ignore_reload_until_ready (void)
{
  signal (SIGHUP, SIG_IGN);
}

int
main (int argc, char **argv)
{
  ignore_reload_until_ready ();
  struct command_line line = {
    .settings = arg_file0 (NULL, "settings", "FILE", "settings of this host"),
    .check = arg_lit0 (NULL, "check", "check the settings and end"),
    .help = arg_lit0 ("h", "help", "print this text and end"),
    .version = arg_lit0 (NULL, "version", "print the version and end"),
    .end = arg_end (4),
  };
  void *table[]
      = { line.settings, line.check, line.help, line.version, line.end };
  const int errors = arg_parse (argc, argv, table);
  int code = EXIT_USAGE;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (line.help->count > 0)
    {
      print_help (&line, table);
      code = EXIT_SUCCESS;
    }
  else if (line.version->count > 0)
    {
      puts ("jaystaird " JAYSTAIR_VERSION);
      code = EXIT_SUCCESS;
    }
  else if (errors > 0)
    arg_print_errors (stderr, line.end, "jaystaird");
  else if (line.settings->count == 0)
    fputs ("jaystaird: no settings; give --settings FILE (an example is "
           "examples/host.json)\n",
           stderr);
  else
    code = check_and_run (&line);
  curl_global_cleanup ();
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}
