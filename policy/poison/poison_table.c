#include "policy/poison/poison_table.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/xmalloc.h"

enum
{
  BACKOFF_SHIFT_MAX = 16,
  CRASH_DEDUP_WINDOW_MS = 1000,
  /* Transmission delay makes crashes reported by other hosts appear later
     than they were. */
  REPORT_DELAY_TOLERANCE_MS = 5,
  /** Retry-after while another host runs the trial. */
  TRIAL_RETRY_MS = 1000,
};

struct crash
{
  uint64_t target;
  int64_t sent_ms;
  int64_t crashed_ms;
};

struct poison_entry
{
  struct fingerprint fingerprint;
  struct crash crashes[POISON_CRASHES_MAX]; /* oldest first */
  uint32_t crash_count;
  uint32_t epoch;
  uint32_t strikes;
  int64_t blocked_until_ms; /* end of the block; valid if strikes > 0 */
  int64_t trial_until_ms;   /* 0: no trial in progress */
  int64_t changed_ms;
  UT_hash_handle hh;
};

struct poison_table
{
  struct poison_options options;
  struct poison_entry *entries;
};

/* The hash key spans the adjacent members `high` and `low`. */
enum
{
  KEY_SIZE = 2 * sizeof (uint64_t),
};

struct poison_table *
poison_table_create (const struct poison_options *options)
{
  struct poison_table *table = xcalloc (1, sizeof *table);
  table->options = *options;
  return table;
}

static int64_t
expires_ms (const struct poison_entry *entry)
{
  return entry->strikes > 0
             ? entry->blocked_until_ms + POISON_BLOCK_RETENTION_MS
             : entry->changed_ms + POISON_CRASH_RETENTION_MS;
}

/* Rebuilds the table from the entries that have not expired at NOW_MS. */
void
poison_table_expire (struct poison_table *table, int64_t now_ms)
{
  struct poison_entry *entry = table->entries;
  HASH_CLEAR (hh, table->entries);
  while (entry != NULL)
    {
      struct poison_entry *next = entry->hh.next;
      if (now_ms <= expires_ms (entry))
        HASH_ADD (hh, table->entries, fingerprint.high, KEY_SIZE, entry);
      else
        free (entry);
      entry = next;
    }
}

void
poison_table_destroy (struct poison_table *table)
{
  if (table == NULL)
    return;
  poison_table_expire (table, INT64_MAX);
  free (table);
}

bool
poison_table_is_empty (const struct poison_table *table)
{
  return table->entries == NULL;
}

static struct poison_entry *
find_entry (const struct poison_table *table,
            const struct fingerprint *fingerprint)
{
  struct poison_entry *entry;
  HASH_FIND (hh, table->entries, &fingerprint->high, KEY_SIZE, entry);
  return entry;
}

bool
poison_table_has_head (const struct poison_table *table, uint64_t head)
{
  for (const struct poison_entry *entry = table->entries; entry != NULL;
       entry = entry->hh.next)
    if (entry->fingerprint.head_hash == head)
      return true;
  return false;
}

/* Eviction order: requests that are not blocked first, then the least
   recently changed. */
static bool
is_evicted_before (const struct poison_entry *a, const struct poison_entry *b)
{
  if ((a->strikes > 0) != (b->strikes > 0))
    return b->strikes > 0;
  return a->changed_ms < b->changed_ms;
}

/* Evicts an entry if the table is full.  Bounds memory when a caller sends
   many different requests. */
static struct poison_entry *
allocate_entry (struct poison_table *table)
{
  struct poison_entry *victim = table->entries;
  if (HASH_COUNT (table->entries) < POISON_ENTRIES_MAX)
    return xcalloc (1, sizeof *victim);
  for (struct poison_entry *entry = victim; entry != NULL;
       entry = entry->hh.next)
    if (is_evicted_before (entry, victim))
      victim = entry;
  HASH_DEL (table->entries, victim);
  *victim = (struct poison_entry){ 0 };
  return victim;
}

static struct poison_entry *
find_or_add (struct poison_table *table, const struct fingerprint *fingerprint,
             int64_t now_ms)
{
  struct poison_entry *entry = find_entry (table, fingerprint);
  if (entry != NULL)
    return entry;
  entry = allocate_entry (table);
  entry->fingerprint = *fingerprint;
  entry->changed_ms = now_ms;
  HASH_ADD (hh, table->entries, fingerprint.high, KEY_SIZE, entry);
  return entry;
}

/* Hosts observe the same crash at slightly different times; a repeated crash
   of a target is separated by its restart. */
static bool
has_crash (const struct poison_entry *entry, uint64_t target,
           int64_t crashed_ms)
{
  for (uint32_t i = 0; i < entry->crash_count; i++)
    if (entry->crashes[i].target == target
        && llabs (entry->crashes[i].crashed_ms - crashed_ms)
               < CRASH_DEDUP_WINDOW_MS)
      return true;
  return false;
}

/* Returns whether the crash is already counted for another, blocked request.
 */
static bool
is_attributed_to_block (const struct poison_table *table,
                        const struct poison_entry *except,
                        const struct poison_crash *crash)
{
  for (const struct poison_entry *entry = table->entries; entry != NULL;
       entry = entry->hh.next)
    if (entry != except && entry->strikes > 0
        && has_crash (entry, crash->target, crash->crashed_ms))
      return true;
  return false;
}

static void
remove_crash (struct poison_entry *entry, uint32_t at)
{
  entry->crash_count--;
  memmove (&entry->crashes[at], &entry->crashes[at + 1],
           (entry->crash_count - at) * sizeof entry->crashes[0]);
}

static void
remove_expired_crashes (struct poison_entry *entry, int64_t now_ms)
{
  while (entry->crash_count > 0
         && now_ms - entry->crashes[0].crashed_ms > POISON_CRASH_RETENTION_MS)
    remove_crash (entry, 0);
}

static void
block_entry (struct poison_table *table, struct poison_entry *entry,
             int64_t now_ms)
{
  const uint32_t shift = entry->strikes < BACKOFF_SHIFT_MAX
                             ? entry->strikes
                             : BACKOFF_SHIFT_MAX;
  int64_t left_ms = (int64_t)table->options.block_ms << shift;
  if (left_ms > table->options.block_max_ms)
    left_ms = table->options.block_max_ms;
  entry->strikes++;
  entry->blocked_until_ms = now_ms + left_ms;
  entry->trial_until_ms = 0;
  entry->changed_ms = now_ms;
  for (struct poison_entry *other = table->entries; other != NULL;
       other = other->hh.next)
    for (uint32_t i = other->strikes > 0 ? 0 : other->crash_count; i-- > 0;)
      if (has_crash (entry, other->crashes[i].target,
                     other->crashes[i].crashed_ms))
        remove_crash (other, i);
}

/* Returns the length of the longest sequence of crashes in which the request
   was sent after the preceding crash, whatever the order of the reports. */
static uint32_t
sequential_crashes (const struct poison_entry *entry)
{
  int64_t last_ms = INT64_MIN;
  uint32_t count = 0;
  for (uint32_t i = 0; i < entry->crash_count; i++)
    if (count == 0
        || entry->crashes[i].sent_ms >= last_ms - REPORT_DELAY_TOLERANCE_MS)
      {
        last_ms = entry->crashes[i].crashed_ms;
        count++;
      }
  return count;
}

/* Inserts CRASH in order of time.  If the list is full, drops the oldest
   crash, or returns NULL if CRASH itself is the oldest. */
static const struct crash *
insert_crash (struct poison_entry *entry, const struct poison_crash *crash)
{
  if (entry->crash_count == POISON_CRASHES_MAX)
    {
      if (crash->crashed_ms < entry->crashes[0].crashed_ms)
        return NULL;
      remove_crash (entry, 0);
    }
  uint32_t at = entry->crash_count;
  while (at > 0 && entry->crashes[at - 1].crashed_ms > crash->crashed_ms)
    at--;
  memmove (&entry->crashes[at + 1], &entry->crashes[at],
           (entry->crash_count - at) * sizeof entry->crashes[0]);
  entry->crashes[at] = (struct crash){ .target = crash->target,
                                       .sent_ms = crash->sent_ms,
                                       .crashed_ms = crash->crashed_ms };
  entry->crash_count++;
  return &entry->crashes[at];
}

static const struct crash *
count_crash (struct poison_table *table, struct poison_entry *entry,
             int64_t now_ms, const struct poison_crash *crash)
{
  remove_expired_crashes (entry, now_ms);
  if (has_crash (entry, crash->target, crash->crashed_ms)
      || is_attributed_to_block (table, entry, crash))
    return NULL;
  const struct crash *counted = insert_crash (entry, crash);
  if (counted == NULL)
    return NULL;
  entry->changed_ms = now_ms;
  const bool must_block
      = entry->strikes > 0
            ? crash->crashed_ms >= entry->blocked_until_ms
            : sequential_crashes (entry) >= table->options.crashes;
  if (must_block)
    block_entry (table, entry, now_ms);
  return counted;
}

static uint32_t
clamp_uint32 (int64_t ms)
{
  if (ms < 0)
    return 0;
  return ms < UINT32_MAX ? (uint32_t)ms : UINT32_MAX;
}

static struct poison_row
block_row (const struct poison_entry *entry, int64_t now_ms)
{
  return (struct poison_row){ .fingerprint = entry->fingerprint,
                              .epoch = entry->epoch,
                              .strikes = entry->strikes,
                              .left_ms = clamp_uint32 (entry->blocked_until_ms
                                                       - now_ms) };
}

static struct poison_row
crash_row (const struct poison_entry *entry, const struct crash *crash,
           int64_t now_ms)
{
  return (struct poison_row){
    .fingerprint = entry->fingerprint,
    .target = crash->target,
    .epoch = entry->epoch,
    .sent_ago_ms = clamp_uint32 (now_ms - crash->sent_ms),
    .crashed_ago_ms = clamp_uint32 (now_ms - crash->crashed_ms),
  };
}

bool
poison_table_add_crash (struct poison_table *table, int64_t now_ms,
                        const struct poison_crash *crash,
                        struct poison_row *row)
{
  struct poison_entry *entry
      = find_or_add (table, &crash->fingerprint, now_ms);
  const struct crash *counted = count_crash (table, entry, now_ms, crash);
  if (counted == NULL)
    return false;
  *row = crash_row (entry, counted, now_ms);
  return true;
}

static void
clear_entry (struct poison_entry *entry, uint32_t epoch, int64_t now_ms)
{
  entry->epoch = epoch;
  entry->strikes = 0;
  entry->crash_count = 0;
  entry->trial_until_ms = 0;
  entry->changed_ms = now_ms;
}

bool
poison_table_clear (struct poison_table *table, int64_t now_ms,
                    const struct fingerprint *fingerprint,
                    struct poison_row *row)
{
  struct poison_entry *entry = find_entry (table, fingerprint);
  if (entry == NULL || (entry->strikes == 0 && entry->crash_count == 0))
    return false;
  clear_entry (entry, entry->epoch + 1, now_ms);
  *row = (struct poison_row){ .fingerprint = *fingerprint,
                              .epoch = entry->epoch };
  return true;
}

bool
poison_table_merge (struct poison_table *table, int64_t now_ms,
                    const struct poison_row *row)
{
  struct poison_entry *entry = find_or_add (table, &row->fingerprint, now_ms);
  if (row->epoch < entry->epoch)
    return false;
  const bool is_newer = row->epoch > entry->epoch;
  if (is_newer)
    clear_entry (entry, row->epoch, now_ms);
  if (row->target != 0)
    {
      const struct poison_crash crash
          = { .fingerprint = row->fingerprint,
              .target = row->target,
              .sent_ms = now_ms - row->sent_ago_ms,
              .crashed_ms = now_ms - row->crashed_ago_ms };
      return count_crash (table, entry, now_ms, &crash) != NULL || is_newer;
    }
  if (row->strikes <= entry->strikes)
    return is_newer;
  entry->strikes = row->strikes;
  entry->blocked_until_ms = now_ms
                            + (row->left_ms < table->options.block_max_ms
                                   ? row->left_ms
                                   : table->options.block_max_ms);
  entry->trial_until_ms = 0;
  entry->changed_ms = now_ms;
  return true;
}

struct poison_row
poison_table_get_block (const struct poison_table *table, int64_t now_ms,
                        const struct fingerprint *fingerprint)
{
  const struct poison_entry *entry = find_entry (table, fingerprint);
  if (entry == NULL || entry->strikes == 0)
    return (struct poison_row){ .fingerprint = *fingerprint };
  return block_row (entry, now_ms);
}

enum poison_verdict
poison_table_check (struct poison_table *table, int64_t now_ms,
                    const struct fingerprint *fingerprint, bool owns_trials,
                    uint32_t *left_ms)
{
  struct poison_entry *entry = find_entry (table, fingerprint);
  if (entry == NULL || entry->strikes == 0)
    return POISON_PASS;
  if (now_ms < entry->blocked_until_ms)
    {
      *left_ms = clamp_uint32 (entry->blocked_until_ms - now_ms);
      return POISON_BLOCKED;
    }
  if (!owns_trials || now_ms < entry->trial_until_ms)
    {
      *left_ms = TRIAL_RETRY_MS;
      return POISON_BLOCKED;
    }
  entry->trial_until_ms = now_ms + POISON_TRIAL_TIMEOUT_MS;
  return POISON_TRIAL;
}

size_t
poison_table_export (const struct poison_table *table, int64_t now_ms,
                     struct poison_row *rows, size_t max)
{
  size_t count = 0;
  for (const struct poison_entry *entry = table->entries; entry != NULL;
       entry = entry->hh.next)
    if (entry->strikes > 0 && count < max)
      rows[count++] = block_row (entry, now_ms);
  for (const struct poison_entry *entry = table->entries; entry != NULL;
       entry = entry->hh.next)
    for (uint32_t i = 0;
         i < entry->crash_count && entry->strikes == 0 && count < max; i++)
      rows[count++] = crash_row (entry, &entry->crashes[i], now_ms);
  return count;
}

size_t
poison_table_list (const struct poison_table *table, int64_t now_ms,
                   struct poison_summary *summaries, size_t max)
{
  size_t count = 0;
  for (const struct poison_entry *entry = table->entries;
       entry != NULL && count < max; entry = entry->hh.next)
    {
      const uint32_t crashes = entry->crash_count;
      const int64_t left_ms = entry->blocked_until_ms - now_ms;
      if (crashes == 0 && entry->strikes == 0)
        continue;
      summaries[count++] = (struct poison_summary){
        .fingerprint = entry->fingerprint,
        .crashes = crashes,
        .strikes = entry->strikes,
        .crashed_ago_ms
        = crashes > 0 ? now_ms - entry->crashes[crashes - 1].crashed_ms : -1,
        .left_ms = entry->strikes > 0 && left_ms > 0 ? left_ms : 0,
      };
    }
  return count;
}
