#include "policy/detection/explanation.h"

#include <stdio.h>

const char *
detection_state_name (enum detection_state state)
{
  static const char *const names[] = {
    [DETECTION_IN_SERVICE] = "in-service", [DETECTION_EJECTED] = "ejected",
    [DETECTION_PROBING] = "probing",       [DETECTION_ON_TRIAL] = "on-trial",
    [DETECTION_WARMING] = "warming",
  };
  return names[state];
}

const char *
detection_verdict_name (enum detection_verdict verdict)
{
  static const char *const names[] = {
    [DETECTION_GOOD] = "good",
    [DETECTION_LEARNING] = "learning",
    [DETECTION_SUSPECT] = "suspect",
    [DETECTION_BAD] = "bad",
    [DETECTION_PATH_FAULT] = "path-fault",
    [DETECTION_UPSTREAM_FAULT] = "upstream-fault",
  };
  return names[verdict];
}

const char *
detection_reason_name (enum detection_reason reason)
{
  static const char *const names[] = {
    [DETECTION_REASON_SOME_FAILURES] = "some-failures",
    [DETECTION_REASON_MANY_FAILURES] = "many-failures",
    [DETECTION_REASON_SLOW] = "slow",
    [DETECTION_REASON_NONE] = "none",
  };
  return names[reason];
}

static int64_t
seconds_until (int64_t now_us, int64_t then_us)
{
  return then_us > now_us ? (then_us - now_us + 999999) / 1000000 : 0;
}

/* Describes the next state change. */
static void
format_next (const struct detection_explanation *e, int64_t now_us, char *text,
             size_t size)
{
  switch (e->state)
    {
    case DETECTION_IN_SERVICE:
      snprintf (text, size, "gets its full share");
      break;
    case DETECTION_EJECTED:
      snprintf (text, size, "may be tried again in %lld s",
                (long long)seconds_until (now_us, e->next_us));
      break;
    case DETECTION_PROBING:
      snprintf (text, size, "waits for probes to succeed");
      break;
    case DETECTION_ON_TRIAL:
      snprintf (text, size,
                "gets %u/1000 of an even share; returns after %u more good "
                "answers",
                e->share_permille, e->good_needed);
      break;
    case DETECTION_WARMING:
      snprintf (text, size, "gets %u/1000 of an even share; full in %lld s",
                e->share_permille,
                (long long)seconds_until (now_us, e->next_us));
      break;
    }
}

int
detection_explanation_format (const struct detection_explanation *e,
                              int64_t now_us, char *text, size_t size)
{
  char next[128];
  format_next (e, now_us, next, sizeof next);
  return snprintf (
      text, size,
      "%s for %lld s, %s (%s): score %.1f of %.1f against %.2f%% normal "
      "failures and %.2f%% beyond %.1f ms; ejected %u times recently; %s",
      detection_state_name (e->state),
      (long long)((now_us - e->state_since_us) / 1000000),
      detection_verdict_name (e->verdict), detection_reason_name (e->reason),
      e->score, e->threshold, 100 * e->baseline_failures,
      100 * e->baseline_slow, (double)e->slow_us / 1000, e->flaps, next);
}
