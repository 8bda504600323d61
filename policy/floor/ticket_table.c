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

/** One claim; the entries of a bucket, and the free ones, are linked. */
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
  uint32_t next_swept; /* next entry to check for expiry */
};

enum
{
  /* Entries checked for expiry by each claim: more than one, so that the sweep
     is faster than new claims. */
  SWEEP_ENTRIES_PER_CLAIM = 4,
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
  struct ticket_table *table = xcalloc (1, sizeof *table);
  const uint32_t buckets = bucket_count (options->capacity);
  table->options = *options;
  snprintf (table->host, sizeof table->host, "%s", options->host);
  table->options.host = table->host;
  table->entries = xcalloc (options->capacity, sizeof *table->entries);
  table->buckets = xcalloc (buckets, sizeof *table->buckets);
  table->bucket_mask = buckets - 1;
  for (uint32_t i = 0; i < buckets; i++)
    table->buckets[i] = NO_ENTRY;
  for (uint32_t i = 0; i < options->capacity; i++)
    table->entries[i].next = i + 1 < options->capacity ? i + 1 : NO_ENTRY;
  return table;
}

void
ticket_table_destroy (struct ticket_table *table)
{
  if (table == NULL)
    return;
  free (table->entries);
  free (table->buckets);
  free (table);
}

static uint32_t *
bucket_of (const struct ticket_table *table, uint64_t sequence)
{
  return &table->buckets[hash_pair (sequence, 0) & table->bucket_mask];
}

static struct entry *
find (const struct ticket_table *table, uint64_t sequence)
{
  uint32_t i = *bucket_of (table, sequence);
  while (i != NO_ENTRY && table->entries[i].sequence != sequence)
    i = table->entries[i].next;
  return i == NO_ENTRY ? NULL : &table->entries[i];
}

static void
drop (struct ticket_table *table, struct entry *entry)
{
  const uint32_t index = (uint32_t)(entry - table->entries);
  uint32_t *link = bucket_of (table, entry->sequence);
  while (*link != index)
    link = &table->entries[*link].next;
  *link = entry->next;
  entry->state = ENTRY_FREE;
  entry->next = table->first_free;
  table->first_free = index;
  table->count--;
}

/* If a claim were dropped while its ticket can still be claimed, a request
   resent by the caller would run a second time.  So it is dropped only after
   its run has ended and its ticket has expired, when every further claim is
   refused. */
static void
sweep_expired (struct ticket_table *table, int64_t now_ms, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      struct entry *entry = &table->entries[table->next_swept];
      table->next_swept = (table->next_swept + 1) % table->options.capacity;
      const bool ended
          = entry->state == ENTRY_ANSWERED || entry->state == ENTRY_UNKNOWN;
      if (ended && entry->expires_ms <= now_ms)
        drop (table, entry);
    }
}

static bool
has_free_entry (struct ticket_table *table, int64_t now_ms)
{
  sweep_expired (table, now_ms, SWEEP_ENTRIES_PER_CLAIM);
  if (table->first_free == NO_ENTRY)
    sweep_expired (table, now_ms, table->options.capacity);
  return table->first_free != NO_ENTRY;
}

enum status
ticket_table_issue (struct ticket_table *table, int64_t now_ms,
                    struct ticket *ticket)
{
  const struct ticket_table_options *options = &table->options;
  if (!has_free_entry (table, now_ms))
    return status_set (STATUS_LIMIT,
                       "all %u ticket claims of this host are in use; ask "
                       "another host for a ticket",
                       options->capacity);
  *ticket = (struct ticket){ .incarnation = options->incarnation,
                             .sequence = ++table->last_sequence,
                             .expires_ms = now_ms + options->lifetime_ms };
  snprintf (ticket->host, sizeof ticket->host, "%s", table->host);
  ticket->mac
      = options->mac (options->key, ticket->sequence, ticket->expires_ms);
  return STATUS_OK;
}

static void
insert (struct ticket_table *table, const struct ticket *ticket)
{
  const uint32_t index = table->first_free;
  struct entry *entry = &table->entries[index];
  uint32_t *bucket = bucket_of (table, ticket->sequence);
  table->first_free = entry->next;
  *entry = (struct entry){ .sequence = ticket->sequence,
                           .expires_ms = ticket->expires_ms,
                           .next = *bucket,
                           .state = ENTRY_RUNNING };
  *bucket = index;
  table->count++;
}

static enum ticket_claim
duplicate_result (const struct entry *entry)
{
  if (entry->state == ENTRY_RUNNING)
    return TICKET_CLAIM_DUPLICATE_RUNNING;
  if (entry->state == ENTRY_ANSWERED)
    return TICKET_CLAIM_DUPLICATE_ANSWERED;
  return TICKET_CLAIM_DUPLICATE_UNKNOWN;
}

/* A caller could make up a ticket with a sequence number that is issued to
   another caller later, who would then find it used.  The MAC is keyed, so
   only this incarnation can have computed it. */
static bool
is_issued (const struct ticket_table *table, const struct ticket *ticket)
{
  const struct ticket_table_options *options = &table->options;
  if (ticket->sequence == 0 || ticket->sequence > table->last_sequence)
    return false;
  return ticket->mac
         == options->mac (options->key, ticket->sequence, ticket->expires_ms);
}

enum ticket_claim
ticket_table_claim (struct ticket_table *table, int64_t now_ms,
                    const struct ticket *ticket)
{
  if (strcmp (ticket->host, table->host) != 0)
    return TICKET_CLAIM_NOT_ISSUED_HERE;
  if (ticket->incarnation != table->options.incarnation)
    return TICKET_CLAIM_WRONG_INCARNATION;
  if (!is_issued (table, ticket))
    return TICKET_CLAIM_FORGED;
  const struct entry *entry = find (table, ticket->sequence);
  if (entry != NULL)
    return duplicate_result (entry);
  if (ticket->expires_ms <= now_ms)
    return TICKET_CLAIM_EXPIRED;
  if (!has_free_entry (table, now_ms))
    return TICKET_CLAIM_FULL;
  insert (table, ticket);
  return TICKET_CLAIM_RUN;
}

void
ticket_table_finish (struct ticket_table *table, int64_t now_ms,
                     uint64_t sequence, enum ticket_end end,
                     uint16_t answer_code)
{
  struct entry *entry = find (table, sequence);
  if (entry == NULL || entry->state != ENTRY_RUNNING)
    return;
  if (end == TICKET_END_NOT_RUN)
    {
      drop (table, entry);
      return;
    }
  entry->state = end == TICKET_END_ANSWERED ? ENTRY_ANSWERED : ENTRY_UNKNOWN;
  entry->answer_code = answer_code;
}

uint16_t
ticket_table_answer_code (const struct ticket_table *table, uint64_t sequence)
{
  const struct entry *entry = find (table, sequence);
  return entry == NULL ? 0 : entry->answer_code;
}

uint32_t
ticket_table_count (const struct ticket_table *table)
{
  return table->count;
}
