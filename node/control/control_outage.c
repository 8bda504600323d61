#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include "base/clock.h"
#include "base/log.h"

enum
{
  /** The record of a target is removed after three heartbeats without a write,
   * and the last write before an outage is up to one heartbeat old. */
  SHORTEST_OUTAGE_HEARTBEATS = 2,
};

static bool
is_failing (const struct control_task *task)
{
  for (size_t i = 0; i < task->feed_count; i++)
    if (task->feeds[i].backoff_ms > 0 || task->feeds[i].is_overdue)
      return true;
  return false;
}

/* How long no answer of the platform has been known here.  What was answered
   while this process stood still isn't known, so that time doesn't count. */
static int64_t
silent_ms (const struct control_task *task, int64_t now_ms)
{
  const int64_t answered_ms = task->outage.answered_ms;
  return now_ms
         - (answered_ms > task->resumed_ms ? answered_ms : task->resumed_ms);
}

static void
note_end (struct control_task *task, int64_t now_ms, const char *why)
{
  task->outage.ended_ms = now_ms;
  task->outage.why = why;
}

/* A failed call alone is no outage: the platform may cut off watches, refuse
   this host or lose a response while it serves the targets.  Silence alone may
   be that of the hosts that inform this one. */
static bool
is_outage (const struct control_task *task, int64_t now_ms)
{
  const int64_t limit_ms = (int64_t)SHORTEST_OUTAGE_HEARTBEATS
                           * task->options.settings->times.target_heartbeat_ms;
  return task->outage.answered_ms > 0 && is_failing (task)
         && silent_ms (task, now_ms) >= limit_ms;
}

void
control_outage_note_answer (struct control_task *task, int64_t at_ms)
{
  struct control_outage *outage = &task->outage;
  const int64_t now_ms = clock_now_ms ();
  if (at_ms <= outage->answered_ms)
    return;
  if (is_outage (task, now_ms))
    {
      outage->length_ms = silent_ms (task, now_ms);
      note_end (task, now_ms, "its record may have expired in an outage");
      LOG_WARN ("platform-outage", LOG_INT ("silent_ms", outage->length_ms),
                LOG_STR ("effect", "removals of targets are held"));
    }
  outage->answered_ms = at_ms;
}

/* Another host may have read the platform before this one did. */
int64_t
control_outage_end_ms (const struct control_task *task)
{
  const int64_t now_ms = clock_now_ms ();
  return is_outage (task, now_ms) ? now_ms : task->outage.ended_ms;
}

/* The records that the restored copy lacks are missing until the targets write
   them again. */
void
control_outage_note_restore (struct control_task *task)
{
  task->outage.length_ms = 0;
  note_end (task, clock_now_ms (), "the platform may have lost its record");
}
