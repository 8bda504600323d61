#include "policy/floor/ticket_table.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/xmalloc.h"

#define NO_ENTRY UINT32_MAX

enum entry_state
{
  ENTRY_FREE,
  ENTRY_RUNNING,
  ENTRY_ANSWERED,
  ENTRY_UNKNOWN,
};

/** One claim; entries of a bucket, or the free ones, are chained. */
struct entry
{
  uint64_t sequence;
  int64_t expires_ms;
  uint32_t next;
  uint16_t answer_code;
  uint8_t state;
};

struct ticket_table
{
  struct ticket_table_options options;
  char host[TICKET_HOST_SIZE];
  uint64_t last_sequence;
  struct entry *entries;
  uint32_t *buckets;
  uint32_t bucket_mask;
  uint32_t first_free;
  uint32_t count;
  uint32_t sweep; /* next entry to look at for expiry */
};

enum
{
  /* Entries looked at for expiry by each claim: more than one, so that the
     sweep gains on new claims. */
  SWEEP_STEPS = 4,
};

static const char *const claim_names[]
    = { [TICKET_CLAIM_RUN] = "run",
        [TICKET_CLAIM_DUPLICATE_RUNNING] = "duplicate-running",
        [TICKET_CLAIM_DUPLICATE_ANSWERED] = "duplicate-answered",
        [TICKET_CLAIM_DUPLICATE_UNKNOWN] = "duplicate-unknown",
        [TICKET_CLAIM_EXPIRED] = "expired",
        [TICKET_CLAIM_NOT_ISSUED_HERE] = "not-issued-here",
        [TICKET_CLAIM_WRONG_INCARNATION] = "wrong-incarnation",
        [TICKET_CLAIM_FORGED] = "forged",
        [TICKET_CLAIM_FULL] = "full" };

const char *
ticket_claim_name (enum ticket_claim claim)
{
  return claim_names[claim];
}

static uint32_t
bucket_count (uint32_t capacity)
{
  uint32_t count = 1;
  while (count < capacity)
    count *= 2;
  return count;
}

struct ticket_table *
ticket_table_create (const struct ticket_table_options *options)
{
  assert (options->capacity > 0
          && options->capacity <= TICKET_TABLE_CAPACITY_MAX);
  struct ticket_table *ledger = xcalloc (1, sizeof *ledger);
  const uint32_t buckets = bucket_count (options->capacity);
  ledger->options = *options;
  snprintf (ledger->host, sizeof ledger->host, "%s", options->host);
  ledger->options.host = ledger->host;
  ledger->entries = xcalloc (options->capacity, sizeof *ledger->entries);
  ledger->buckets = xcalloc (buckets, sizeof *ledger->buckets);
  ledger->bucket_mask = buckets - 1;
  for (uint32_t i = 0; i < buckets; i++)
    ledger->buckets[i] = NO_ENTRY;
  for (uint32_t i = 0; i < options->capacity; i++)
    ledger->entries[i].next = i + 1 < options->capacity ? i + 1 : NO_ENTRY;
  return ledger;
}

void
ticket_table_destroy (struct ticket_table *ledger)
{
  if (ledger == NULL)
    return;
  free (ledger->entries);
  free (ledger->buckets);
  free (ledger);
}

static uint32_t *
bucket_of (const struct ticket_table *ledger, uint64_t sequence)
{
  return &ledger->buckets[hash_pair (sequence, 0) & ledger->bucket_mask];
}

static struct entry *
find (const struct ticket_table *ledger, uint64_t sequence)
{
  uint32_t i = *bucket_of (ledger, sequence);
  while (i != NO_ENTRY && ledger->entries[i].sequence != sequence)
    i = ledger->entries[i].next;
  return i == NO_ENTRY ? NULL : &ledger->entries[i];
}

static void
drop (struct ticket_table *ledger, struct entry *entry)
{
  const uint32_t index = (uint32_t)(entry - ledger->entries);
  uint32_t *link = bucket_of (ledger, entry->sequence);
  while (*link != index)
    link = &ledger->entries[*link].next;
  *link = entry->next;
  entry->state = ENTRY_FREE;
  entry->next = ledger->first_free;
  ledger->first_free = index;
  ledger->count--;
}

/* Guards at-most-once: a claim dropped while its ticket can still be claimed
   would let a caller's re-send run the request again.  It goes only when the
   ticket has expired, after which every claim is refused, and when its run
   has ended. */
static void
sweep (struct ticket_table *ledger, int64_t now_ms, uint32_t steps)
{
  for (uint32_t i = 0; i < steps; i++)
    {
      struct entry *entry = &ledger->entries[ledger->sweep];
      ledger->sweep = (ledger->sweep + 1) % ledger->options.capacity;
      const bool ended
          = entry->state == ENTRY_ANSWERED || entry->state == ENTRY_UNKNOWN;
      if (ended && entry->expires_ms <= now_ms)
        drop (ledger, entry);
    }
}

static bool
has_room (struct ticket_table *ledger, int64_t now_ms)
{
  sweep (ledger, now_ms, SWEEP_STEPS);
  if (ledger->first_free == NO_ENTRY)
    sweep (ledger, now_ms, ledger->options.capacity);
  return ledger->first_free != NO_ENTRY;
}

enum status
ticket_table_issue (struct ticket_table *ledger, int64_t now_ms,
                    struct ticket *ticket)
{
  const struct ticket_table_options *options = &ledger->options;
  if (!has_room (ledger, now_ms))
    return status_set (STATUS_LIMIT,
                       "all %u ticket claims of this host are in use; ask "
                       "another host for a ticket",
                       options->capacity);
  *ticket = (struct ticket){ .incarnation = options->incarnation,
                             .sequence = ++ledger->last_sequence,
                             .expires_ms = now_ms + options->lifetime_ms };
  snprintf (ticket->host, sizeof ticket->host, "%s", ledger->host);
  ticket->mac
      = options->mac (options->key, ticket->sequence, ticket->expires_ms);
  return STATUS_OK;
}

static void
insert (struct ticket_table *ledger, const struct ticket *ticket)
{
  const uint32_t index = ledger->first_free;
  struct entry *entry = &ledger->entries[index];
  uint32_t *bucket = bucket_of (ledger, ticket->sequence);
  ledger->first_free = entry->next;
  *entry = (struct entry){ .sequence = ticket->sequence,
                           .expires_ms = ticket->expires_ms,
                           .next = *bucket,
                           .state = ENTRY_RUNNING };
  *bucket = index;
  ledger->count++;
}

static enum ticket_claim
duplicate (const struct entry *entry)
{
  if (entry->state == ENTRY_RUNNING)
    return TICKET_CLAIM_DUPLICATE_RUNNING;
  if (entry->state == ENTRY_ANSWERED)
    return TICKET_CLAIM_DUPLICATE_ANSWERED;
  return TICKET_CLAIM_DUPLICATE_UNKNOWN;
}

/* Guards against a caller that makes up tickets: a sequence that was never
   issued could later be issued to another caller and be found used.  The
   check is keyed, so only this incarnation can have made it. */
static bool
issued (const struct ticket_table *ledger, const struct ticket *ticket)
{
  const struct ticket_table_options *options = &ledger->options;
  if (ticket->sequence == 0 || ticket->sequence > ledger->last_sequence)
    return false;
  return ticket->mac
         == options->mac (options->key, ticket->sequence, ticket->expires_ms);
}

enum ticket_claim
ticket_table_claim (struct ticket_table *ledger, int64_t now_ms,
                    const struct ticket *ticket)
{
  if (strcmp (ticket->host, ledger->host) != 0)
    return TICKET_CLAIM_NOT_ISSUED_HERE;
  if (ticket->incarnation != ledger->options.incarnation)
    return TICKET_CLAIM_WRONG_INCARNATION;
  if (!issued (ledger, ticket))
    return TICKET_CLAIM_FORGED;
  const struct entry *entry = find (ledger, ticket->sequence);
  if (entry != NULL)
    return duplicate (entry);
  if (ticket->expires_ms <= now_ms)
    return TICKET_CLAIM_EXPIRED;
  if (!has_room (ledger, now_ms))
    return TICKET_CLAIM_FULL;
  insert (ledger, ticket);
  return TICKET_CLAIM_RUN;
}

void
ticket_table_finish (struct ticket_table *ledger, int64_t now_ms,
                     uint64_t sequence, enum ticket_end end,
                     uint16_t answer_code)
{
  struct entry *entry = find (ledger, sequence);
  if (entry == NULL || entry->state != ENTRY_RUNNING)
    return;
  if (end == TICKET_END_NOT_RUN)
    {
      drop (ledger, entry);
      return;
    }
  entry->state = end == TICKET_END_ANSWERED ? ENTRY_ANSWERED : ENTRY_UNKNOWN;
  entry->answer_code = answer_code;
}

uint16_t
ticket_table_answer_code (const struct ticket_table *ledger, uint64_t sequence)
{
  const struct entry *entry = find (ledger, sequence);
  return entry == NULL ? 0 : entry->answer_code;
}

uint32_t
ticket_table_count (const struct ticket_table *ledger)
{
  return ledger->count;
}
