#include "ctl/explain_request.h"

#include <errno.h>
#include <string.h>

#include "ctl/log_line.h"
#include "ctl/request_timeline.h"

/* Lines that don't name their host get the name of the log file. */
static void
read_as_host (struct request_timeline *timeline, const char *path, FILE *file)
{
  static const char suffix[] = ".log";
  const char *slash = strrchr (path, '/');
  const char *name = slash == NULL ? path : slash + 1;
  size_t length = strlen (name);
  if (length >= sizeof suffix
      && strcmp (name + length - (sizeof suffix - 1), suffix) == 0)
    length -= sizeof suffix - 1;
  char host[LOG_LINE_WORD_SIZE];
  snprintf (host, sizeof host, "%.*s", (int)length, name);
  request_timeline_read (timeline, host, file);
}

static enum status
read_file (struct request_timeline *timeline, const char *path)
{
  if (strcmp (path, "-") == 0)
    {
      request_timeline_read (timeline, "input", stdin);
      return STATUS_OK;
    }
  FILE *file = fopen (path, "re");
  if (file == NULL)
    return status_set (STATUS_NOT_FOUND,
                       "%s: %s; name the files that hold the hosts' logs, or "
                       "none to read them from the input",
                       path, strerror (errno));
  read_as_host (timeline, path, file);
  fclose (file);
  return STATUS_OK;
}

static enum status
read_all (struct request_timeline *timeline, const struct statement *statement)
{
  if (statement->file_count == 0)
    return read_file (timeline, "-");
  for (size_t i = 0; i < statement->file_count; i++)
    {
      const enum status status = read_file (timeline, statement->files[i]);
      if (status != STATUS_OK)
        return status;
    }
  return STATUS_OK;
}

static enum exit_code
print_result (const struct commands *commands,
              const struct statement *statement,
              const struct request_timeline *timeline)
{
  if (commands->json)
    {
      struct json_object *json = request_timeline_json (timeline);
      commands_print_json (commands, json);
      json_object_put (json);
    }
  if (!request_timeline_is_found (timeline))
    return commands_fail (
        commands,
        status_set (STATUS_NOT_FOUND,
                    "no line of these logs has the id \"%.64s\"; give the "
                    "logs of all hosts, for the time of the request",
                    statement->request));
  if (!commands->json)
    request_timeline_print (timeline, commands->out);
  return EXIT_CODE_DONE;
}

enum exit_code
explain_request_run (const struct commands *commands,
                     const struct statement *statement)
{
  struct request_timeline *timeline
      = request_timeline_create (statement->request);
  const enum status status = read_all (timeline, statement);
  request_timeline_finish (timeline);
  const enum exit_code code
      = status == STATUS_OK ? print_result (commands, statement, timeline)
                            : commands_fail (commands, status);
  request_timeline_destroy (timeline);
  return code;
}
