#include "ctl/request_cause.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

/** The meaning of a refusal's reason or of an attempt's end. */
struct meaning
{
  const char *name;
  const char *text;
};

static const struct meaning refusal_meanings[] = {
  { "queue-full", "its service's queue was full" },
  { "too-late",
    "the targets with free slots could not have served it in time" },
  { "no-free-slot", "no target had a free slot" },
  { "no-target", "its service has no target that takes work" },
  { "retry-budget", "it needed another attempt, and the retries of the last "
                    "seconds were spent" },
  { "retry-reserved", "it needed another attempt, and the remaining retries "
                      "were reserved for more urgent requests" },
  { "displaced", "more urgent requests took its place in the queue" },
  { "attempts", "all attempts that its route allows were used" },
  { "deadline", "its deadline passed before a response came" },
  { "cut", "its target's connection ended without a whole answer" },
  { "no-settings", "the host had just started and knew no settings" },
  { "no-service", "the host knew no such service" },
  { "unknown-service", "the host knew no such service" },
  { "no-route", "no route of the configuration in force fits it" },
  { "no-host", "it names no host" },
  { "method", "its method isn't supported" },
  { "bad-request", "it could not be understood" },
  { "body-too-large", "its body is larger than the configuration allows" },
  { "head-too-large", "its head is larger than the configuration allows" },
  { "no-key", "its route requires a key, and it had none" },
  { "malformed-key", "its key could not be read" },
  { "unknown-key", "its key belongs to no workspace of the configuration in "
                   "force" },
  { "config-not-fresh",
    "the host could not determine which keys are in force" },
  { "over-quota", "its workspace had used up its quota" },
  { "quota-not-known", "the host could not determine how much of its "
                       "workspace's quota was used" },
  { "ticket-duplicate", "its ticket had been used before" },
  { "ticket-forged", "its ticket was never issued" },
  { "ticket-elsewhere", "its ticket is of another host" },
  { "poison-request", "targets had crashed while running the same request" },
  { "body-late", "its body did not arrive in time" },
  { "tickets-full", "the host had too many tickets in use" },
  { "leaving", "the host was shutting down" },
  { "host-leaves", "the host was shutting down" },
  { "host-stops", "the host was stopping" },
  { "cut-from-targets", "the host could not connect to any target, and no "
                        "other host that can took the request" },
  { NULL, "the host gave up on it" },
};

static const struct meaning end_meanings[]
    = { { "answered", "answered" },
        { "failed", "answered with a failure of its own" },
        { "cut", "broke off" },
        { "timed-out", "did not answer in time" },
        { "not-sent", "was not reached, nothing was sent" },
        { "shed", "refused it, unrun" },
        { "cancelled", "was abandoned, since the caller had disconnected or "
                       "the deadline had passed" },
        { NULL, "ended the attempt" } };

/* Why a request ended without its response; older hosts don't say. */
static const struct meaning abandoned_meanings[]
    = { { "closed-by-host", "the host closed the connection" },
        { "idle-timeout", "the connection was idle for too long" },
        { "host-stops", "the host stopped" },
        { "read-error", "the connection broke" },
        { NULL, "the caller went away" } };

static const char *
meaning_of (const struct meaning *meanings, const char *name)
{
  while (meanings->name != NULL && strcmp (meanings->name, name) != 0)
    meanings++;
  return meanings->text;
}

static bool
is_event (const struct log_line *line, const char *event)
{
  return strcmp (line->event, event) == 0;
}

static bool
is_attempt (const struct log_line *line)
{
  return is_event (line, "attempt") || is_event (line, "attempt-failed");
}

static const struct log_line *
last_event (const struct log_line *own, size_t count, const char *event)
{
  for (size_t i = count; i-- > 0;)
    if (is_event (&own[i], event))
      return &own[i];
  return NULL;
}

static const struct log_line *
last_attempt (const struct log_line *own, size_t count)
{
  for (size_t i = count; i-- > 0;)
    if (is_attempt (&own[i]))
      return &own[i];
  return NULL;
}

static void
print_attempt (FILE *out, const struct log_line *line)
{
  fprintf (out, "target %s %s", log_line_text (line, "target"),
           meaning_of (end_meanings, log_line_text (line, "end")));
  const int64_t status = log_line_number (line, "status");
  if (status > 0)
    fprintf (out, " (%" PRId64 ")", status);
  fprintf (out, " after %" PRId64 " ms",
           log_line_number (line, "took_us") / 1000);
  const int64_t believed = log_line_number (line, "believed_failing_permille");
  if (strcmp (log_line_text (line, "end"), "answered") != 0)
    fprintf (out, ", believed to fail %" PRId64 " in 1000", believed);
}

static void
print_attempts (FILE *out, const struct log_line *own, size_t count)
{
  const char *separator = ": ";
  for (size_t i = 0; i < count; i++)
    if (is_attempt (&own[i]))
      {
        fputs (separator, out);
        print_attempt (out, &own[i]);
        separator = "; ";
      }
}

static void
print_refusal (FILE *out, const struct log_line *own, size_t count,
               const struct log_line *refused)
{
  const char *reason = log_line_text (refused, "reason");
  const bool is_unrun
      = strcmp (log_line_text (refused, "outcome"), "not-run") == 0;
  fprintf (out, "host %s answered %" PRId64 " by itself (%s), %s, since %s",
           refused->source, log_line_number (refused, "status"), reason,
           is_unrun ? "and it never ran" : "and it may have run",
           meaning_of (refusal_meanings, reason));
  print_attempts (out, own, count);
}

/* The first start of LINE's host after LINE; NULL if its log has none. */
static const struct log_line *
find_restart_after (const struct log_line *line,
                    const struct log_line *context, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (is_event (&context[i], "serving")
        && strcmp (context[i].source, line->source) == 0
        && strcmp (context[i].time, line->time) > 0)
      return &context[i];
  return NULL;
}

/* The log of a host that is killed or loses power ends without a further
   line: the request has a routing decision but no end, and the host's next
   line is that of its restart. */
static void
print_missing_end (FILE *out, const struct log_line *own, size_t count,
                   const struct log_line *context, size_t context_count)
{
  const struct log_line *route = last_event (own, count, "route");
  if (route == NULL)
    {
      fputs ("not in these logs: there is no line on how it ended", out);
      return;
    }
  const struct log_line *restart
      = find_restart_after (route, context, context_count);
  fprintf (out, "host %s sent it to target %s and wrote no end; ",
           route->source, log_line_text (route, "target"));
  if (restart != NULL)
    fprintf (out,
             "it stopped without a word and started anew at %s, so the "
             "request may have run",
             restart->time);
  else
    fputs ("it is in flight, or the host stopped and has not started since",
           out);
}

char *
request_cause_find (const struct log_line *own, size_t count,
                    const struct log_line *context, size_t context_count)
{
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);
  if (out == NULL)
    return xstrdup ("out of memory");
  const struct log_line *refused = last_event (own, count, "refused");
  const struct log_line *abandoned = last_event (own, count, "abandoned");
  const struct log_line *attempt = last_attempt (own, count);
  if (refused != NULL)
    print_refusal (out, own, count, refused);
  else if (abandoned != NULL)
    {
      fprintf (
          out, "%s while the request was %s, after %" PRId64 " attempts",
          meaning_of (abandoned_meanings, log_line_text (abandoned, "why")),
          log_line_text (abandoned, "stage"),
          log_line_number (abandoned, "attempts"));
      print_attempts (out, own, count);
    }
  else if (attempt != NULL)
    {
      print_attempt (out, attempt);
      fputs ("; the answer was passed on to the caller", out);
    }
  else
    print_missing_end (out, own, count, context, context_count);
  fclose (out);
  return text;
}

static void
add_missing (struct json_object *missing, char *text)
{
  json_object_array_add (missing, json_object_new_string (text));
  free (text);
}

static bool
has_attempt (const struct log_line *own, size_t count, int64_t number)
{
  for (size_t i = 0; i < count; i++)
    if (is_attempt (&own[i]) && log_line_number (&own[i], "attempt") == number)
      return true;
  return false;
}

static int64_t
count_attempts (const struct log_line *own, size_t count)
{
  int64_t max = 0;
  for (size_t i = 0; i < count; i++)
    {
      const int64_t reported = log_line_number (&own[i], "attempts");
      const int64_t number
          = is_attempt (&own[i]) ? log_line_number (&own[i], "attempt") : 0;
      max = reported > max ? reported : max;
      max = number > max ? number : max;
    }
  return max;
}

static void
add_suppressed_lines (const struct log_line *context, size_t count,
                      struct json_object *missing)
{
  for (size_t i = 0; i < count; i++)
    {
      const struct log_line *line = &context[i];
      if (is_event (line, "log-withheld"))
        add_missing (missing,
                     xasprintf ("host %s left out %" PRId64
                                " lines of the event %s in the second before "
                                "%s",
                                line->source,
                                log_line_number (line, "withheld"),
                                log_line_text (line, "repeated"), line->time));
      else if (is_event (line, "log-lost"))
        add_missing (missing,
                     xasprintf ("host %s lost %" PRId64
                                " lines before %s: the reader of its log had "
                                "stopped",
                                line->source, log_line_number (line, "lines"),
                                line->time));
    }
}

/* Whether the request was refused before a target was looked for. */
static bool
was_refused_before_choice (const struct log_line *own, size_t count)
{
  static const char *const reasons_before_choice[]
      = { "no-key",     "malformed-key",   "unknown-key", "config-not-fresh",
          "over-quota", "quota-not-known", "no-settings", "no-route",
          "no-host",    "method",          "bad-request", "head-too-large" };
  const struct log_line *refused = last_event (own, count, "refused");
  if (refused == NULL)
    return false;
  const char *reason = log_line_text (refused, "reason");
  for (size_t i = 0;
       i < sizeof reasons_before_choice / sizeof *reasons_before_choice; i++)
    if (strcmp (reason, reasons_before_choice[i]) == 0)
      return true;
  return false;
}

void
request_cause_missing (const struct log_line *own, size_t count,
                       const struct log_line *context, size_t context_count,
                       struct json_object *missing)
{
  if (count == 0)
    {
      add_missing (missing,
                   xstrdup ("every line on it: look in the logs of all hosts, "
                            "and whether the caller's connection reached "
                            "one"));
      for (size_t i = 0; i < context_count; i++)
        add_missing (missing,
                     xasprintf ("what host %s had in flight before it "
                                "started at %s",
                                context[i].source, context[i].time));
      return;
    }
  const int64_t attempts = count_attempts (own, count);
  for (int64_t number = 1; number <= attempts; number++)
    if (!has_attempt (own, count, number))
      add_missing (missing,
                   xasprintf ("how attempt %" PRId64 " of %" PRId64 " ended",
                              number, attempts));
  if (!was_refused_before_choice (own, count)
      && last_event (own, count, "route") == NULL)
    add_missing (missing,
                 xstrdup ("why its targets were chosen (no route line)"));
  add_suppressed_lines (context, context_count, missing);
}
