#include "policy/floor/floor_view.h"

#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

struct floor_view
{
  uint64_t known_epoch; /* highest one reported; lower ones are ignored */
  uint64_t epoch;       /* of the current decision */
  uint64_t sequence;
  int64_t expires_ms; /* INT64_MIN: nothing is in force */
  char (*targets)[FLOOR_NAME_SIZE];
  size_t count;
};

struct floor_view *
floor_view_create (void)
{
  struct floor_view *view = xcalloc (1, sizeof *view);
  view->expires_ms = INT64_MIN;
  return view;
}

void
floor_view_destroy (struct floor_view *view)
{
  if (view == NULL)
    return;
  free (view->targets);
  free (view);
}

static bool
expire (struct floor_view *view)
{
  const bool changed = view->count > 0;
  view->count = 0;
  view->expires_ms = INT64_MIN;
  return changed;
}

static bool
same_targets (const struct floor_view *view,
              const struct floor_decision *decision)
{
  return view->count == decision->count
         && (view->count == 0
             || memcmp (view->targets, decision->targets,
                        view->count * sizeof *view->targets)
                    == 0);
}

static bool
set_targets (struct floor_view *view, const struct floor_decision *decision)
{
  if (same_targets (view, decision))
    return false;
  view->targets = xreallocarray (view->targets, decision->count + 1,
                                 sizeof *view->targets);
  if (decision->count > 0)
    memcpy (view->targets, decision->targets,
            decision->count * sizeof *view->targets);
  view->count = decision->count;
  return true;
}

/* An owner that was replaced while it was suspended, or that can't reach
   the platform, continues to send decisions.  If a host obeyed them beside
   those of the new owner, the ejections of both would add up below the
   floor.  So once this host knows the higher epoch, decisions of the lower
   one are ignored and its earlier ones expire; the new owner counts them
   until then. */
static bool
is_outdated (const struct floor_view *view,
             const struct floor_decision *decision)
{
  if (decision->epoch < view->known_epoch)
    return true;
  return decision->epoch == view->epoch && decision->sequence < view->sequence;
}

bool
floor_view_apply (struct floor_view *view, int64_t now_ms, int64_t poll_ms,
                  const struct floor_decision *decision)
{
  const bool expired = floor_view_tick (view, now_ms);
  if (poll_ms > now_ms || is_outdated (view, decision))
    return expired;
  const bool known
      = decision->epoch == view->epoch && decision->sequence == view->sequence;
  const int64_t expires_ms = poll_ms + decision->enforce_ms;
  view->known_epoch = decision->epoch;
  view->epoch = decision->epoch;
  view->sequence = decision->sequence;
  /* The time of a decision starts at the poll, so an answer that was delayed
     beyond it ejects nothing. */
  if (expires_ms <= now_ms)
    return known ? expired : expire (view) || expired;
  if (!known || expires_ms > view->expires_ms)
    view->expires_ms = expires_ms;
  return set_targets (view, decision) || expired;
}

void
floor_view_epoch_seen (struct floor_view *view, uint64_t epoch)
{
  if (epoch > view->known_epoch)
    view->known_epoch = epoch;
}

bool
floor_view_tick (struct floor_view *view, int64_t now_ms)
{
  return view->expires_ms <= now_ms && expire (view);
}

bool
floor_view_ejected (const struct floor_view *view, int64_t now_ms,
                    const char *target)
{
  if (view->expires_ms <= now_ms)
    return false;
  for (size_t i = 0; i < view->count; i++)
    if (strcmp (view->targets[i], target) == 0)
      return true;
  return false;
}

size_t
floor_view_targets (const struct floor_view *view,
                    const char (**targets)[FLOOR_NAME_SIZE])
{
  *targets = (const char (*)[FLOOR_NAME_SIZE])view->targets;
  return view->count;
}

uint64_t
floor_view_epoch (const struct floor_view *view)
{
  return view->known_epoch;
}

int64_t
floor_view_expires_ms (const struct floor_view *view)
{
  return view->expires_ms;
}
