#include "base/log.h"

#include <limits.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/json_text.h"

enum
{
  REPEAT_SLOTS = 64,
  STAMP_SIZE = 40,
  SECOND_MS = 1000,
};

/** How often one event was written in the second under way. */
struct repeat
{
  uint64_t event_hash;
  int64_t since_ms;
  uint32_t written;
  uint32_t withheld;
};

/** A line under construction. */
struct line
{
  char text[LOG_LINE_SIZE];
  size_t used;
};

static struct log_options config
    = { .level = LOG_LEVEL_INFO, .fd = STDERR_FILENO };
static struct repeat repeats[REPEAT_SLOTS];
static uint64_t lost; /* lines that found no room */

static const char *const level_names[] = { [LOG_LEVEL_ERROR] = "error",
                                           [LOG_LEVEL_WARNING] = "warning",
                                           [LOG_LEVEL_INFO] = "info",
                                           [LOG_LEVEL_DEBUG] = "debug" };

void
log_configure (const struct log_options *options)
{
  config = *options;
  if (config.fd == 0)
    config.fd = STDERR_FILENO;
  memset (repeats, 0, sizeof repeats);
}

bool
log_enabled (enum log_level level)
{
  return level <= config.level;
}

enum status
log_level_parse (const char *text, enum log_level *level)
{
  for (int i = LOG_LEVEL_ERROR; i <= LOG_LEVEL_DEBUG; i++)
    if (strcmp (text, level_names[i]) == 0)
      {
        *level = (enum log_level)i;
        return STATUS_OK;
      }
  return status_set (STATUS_INVALID,
                     "log level \"%s\" is not known: use error, warning, "
                     "info or debug",
                     text);
}

static void
line_add (struct line *line, const char *text)
{
  const size_t room = sizeof line->text - 2 - line->used;
  const size_t length = strnlen (text, room);
  memcpy (line->text + line->used, text, length);
  line->used += length;
}

static void
line_add_quoted (struct line *line, const char *text)
{
  const size_t room = sizeof line->text - 2 - line->used;
  if (room < 4)
    return;
  line->used += json_text_quote (line->text + line->used, room, text);
}

static void
line_add_number (struct line *line, int64_t number)
{
  char text[24];
  snprintf (text, sizeof text, "%lld", (long long)number);
  line_add (line, text);
}

/* A value that a key=value reader could split wrongly is quoted. */
static void
line_add_value (struct line *line, const char *text)
{
  if (*text != '\0' && strpbrk (text, " =\"\\\n\r\t") == NULL)
    line_add (line, text);
  else
    line_add_quoted (line, text);
}

static void
stamp (char text[STAMP_SIZE])
{
  struct timespec now;
  struct tm parts;
  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &parts);
  const size_t used = strftime (text, STAMP_SIZE, "%Y-%m-%dT%H:%M:%S", &parts);
  snprintf (text + used, STAMP_SIZE - used, ".%03ldZ", now.tv_nsec / 1000000);
}

static void
add_text_fields (struct line *line, const struct log_field *fields,
                 size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      if (fields[i].key == NULL)
        continue;
      line_add (line, " ");
      line_add (line, fields[i].key);
      line_add (line, "=");
      if (fields[i].text != NULL)
        line_add_value (line, fields[i].text);
      else
        line_add_number (line, fields[i].number);
    }
}

static void
add_json_fields (struct line *line, const struct log_field *fields,
                 size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      if (fields[i].key == NULL)
        continue;
      line_add (line, ",");
      line_add_quoted (line, fields[i].key);
      line_add (line, ":");
      if (fields[i].text != NULL)
        line_add_quoted (line, fields[i].text);
      else
        line_add_number (line, fields[i].number);
    }
}

static void
format_text (struct line *line, enum log_level level, const char *module,
             const char *event, const struct log_field *fields, size_t count)
{
  char time_text[STAMP_SIZE];
  stamp (time_text);
  line_add (line, time_text);
  line_add (line, " ");
  line_add (line, level_names[level]);
  line_add (line, " ");
  line_add (line, module);
  line_add (line, " ");
  line_add_value (line, event);
  add_text_fields (line, fields, count);
}

static void
format_json (struct line *line, enum log_level level, const char *module,
             const char *event, const struct log_field *fields, size_t count)
{
  char time_text[STAMP_SIZE];
  stamp (time_text);
  const struct log_field head[]
      = { LOG_STR ("level", level_names[level]), LOG_STR ("module", module),
          LOG_STR ("event", event) };
  line_add (line, "{\"time\":");
  line_add_quoted (line, time_text);
  add_json_fields (line, head, sizeof head / sizeof head[0]);
  add_json_fields (line, fields, count);
  line_add (line, "}");
}

static void
emit (enum log_level level, const char *module, const char *event,
      const struct log_field *fields, size_t count)
{
  struct line line = { .used = 0 };
  if (config.json)
    format_json (&line, level, module, event, fields, count);
  else
    format_text (&line, level, module, event, fields, count);
  line.text[line.used++] = '\n';
  /* One write a line keeps lines of several processes whole in one file. */
  const ssize_t written = write (config.fd, line.text, line.used);
  (void)written;
}

/* Guards against a reader of the log that has stopped: once the pipe to it is
   full, a write waits for it, and with it all requests.  A pipe that polls
   writable takes PIPE_BUF bytes without waiting, more than a line has. */
static bool
would_block (void)
{
  struct pollfd fd = { .fd = config.fd, .events = POLLOUT };
  return poll (&fd, 1, 0) == 1 ? (fd.revents & POLLOUT) == 0 : true;
}

_Static_assert(LOG_LINE_SIZE <= PIPE_BUF, "a line may wait for its reader");

/* Guards against a log that drowns its reader and the disk behind it when
   one event repeats for each request: past the limit of a second the lines
   are counted, and the next line that may pass tells how many are missing. */
static bool
repeat_allows (enum log_level level, const char *module, const char *event,
               uint32_t *withheld)
{
  const uint32_t most = level <= LOG_LEVEL_WARNING ? config.warnings_per_second
                                                   : config.repeats_per_second;
  *withheld = 0;
  if (most == 0)
    return true;
  const uint64_t hash = hash_pair (hash_string (module), hash_string (event));
  struct repeat *repeat = &repeats[hash % REPEAT_SLOTS];
  const int64_t now_ms = clock_now_ms ();
  if (repeat->event_hash != hash || now_ms - repeat->since_ms >= SECOND_MS)
    {
      if (repeat->event_hash == hash)
        *withheld = repeat->withheld;
      *repeat = (struct repeat){ .event_hash = hash, .since_ms = now_ms };
    }
  if (repeat->written >= most)
    {
      repeat->withheld++;
      return false;
    }
  repeat->written++;
  return true;
}

/* A line that says how many before it were lost. */
static void
emit_lost (void)
{
  const struct log_field note[] = { LOG_INT ("lines", lost) };
  lost = 0;
  emit (LOG_LEVEL_WARNING, "log", "log-lost", note, 1);
}

void
log_write (enum log_level level, const char *module, const char *event,
           const struct log_field *fields, size_t count)
{
  uint32_t withheld;
  if (!repeat_allows (level, module, event, &withheld))
    return;
  if (would_block ())
    {
      lost++;
      return;
    }
  if (lost > 0)
    emit_lost ();
  if (withheld > 0)
    {
      const struct log_field note[]
          = { LOG_STR ("repeated", event), LOG_INT ("withheld", withheld) };
      emit (level, module, "log-withheld", note, 2);
    }
  emit (level, module, event, fields, count);
}
