/** @file
 * Cost of the floor owner, the ticket table and their messages.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/hash.h"
#include "base/rng.h"
#include "base/xmalloc.h"
#include "node/ejection/ejection_messages.h"
#include "policy/floor/floor_owner.h"
#include "policy/floor/ticket_table.h"

enum
{
  SEED = 1,
  CLAIMS = 2000000,
  DECISIONS = 20000,
  TICKETS = 65536,
  LIFETIME_MS = 1000,
};

static double
now_ns (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec * 1e9 + (double)now.tv_nsec;
}

static uint64_t
fake_mac (void *key, uint64_t sequence, int64_t expires_ms)
{
  return hash_pair (hash_pair (SEED, sequence), (uint64_t)expires_ms);
}

static void
measure_tickets (void)
{
  const struct ticket_table_options options = { .host = "host",
                                                .incarnation = SEED,
                                                .capacity = TICKETS,
                                                .lifetime_ms = LIFETIME_MS,
                                                .mac = fake_mac };
  struct ticket_table *tickets = ticket_table_create (&options);
  const double start = now_ns ();
  for (int i = 0; i < CLAIMS; i++)
    {
      struct ticket ticket;
      const int64_t now_ms = i / 50;
      if (ticket_table_issue (tickets, now_ms, &ticket) != STATUS_OK)
        continue;
      ticket_table_claim (tickets, now_ms, &ticket);
      ticket_table_finish (tickets, now_ms, ticket.sequence,
                           TICKET_END_ANSWERED, 200);
    }
  printf ("figure ticket_issue_claim_finish_ns %.0f ns\n",
          (now_ns () - start) / CLAIMS);
  ticket_table_destroy (tickets);
}

static void
activate_owner (struct floor_owner *owner)
{
  floor_owner_set_candidate (owner, 0, true, UINT64_MAX);
  floor_owner_next_request (owner, 0);
  const struct floor_reply none = { .status = FLOOR_REPLY_NOT_FOUND };
  floor_owner_handle_reply (owner, 0, &none);
  floor_owner_next_request (owner, 0);
  const struct floor_reply written
      = { .status = FLOOR_REPLY_OK, .version = 1 };
  floor_owner_handle_reply (owner, 0, &written);
}

static void
measure_decision (size_t targets)
{
  const struct floor_owner_options options = { .host = "host",
                                               .incarnation = SEED,
                                               .seed = SEED,
                                               .enforce_ms = 3000,
                                               .authority_ms = 3600000,
                                               .retry_ms = 100,
                                               .retry_max_ms = 1000 };
  struct floor_owner *owner = floor_owner_create (&options);
  struct floor_spec spec
      = { .version = 1,
          .targets = xcalloc (targets, sizeof *spec.targets),
          .count = targets };
  for (size_t i = 0; i < targets; i++)
    {
      snprintf (spec.targets[i].name, FLOOR_NAME_SIZE, "target-%zu", i);
      spec.targets[i].capacity = 4;
      spec.targets[i].active = true;
    }
  floor_owner_set_spec (owner, 0, &spec);
  activate_owner (owner);
  for (size_t i = 0; i < targets / 10; i++)
    floor_owner_eject (owner, 1, spec.targets[i].name, (uint32_t)i, false);
  const double start = now_ns ();
  for (int i = 0; i < DECISIONS; i++)
    {
      struct floor_decision decision;
      floor_owner_decision (owner, 2, &decision);
    }
  printf ("figure floor_decision_ns_%zu_targets %.0f ns\n", targets,
          (now_ns () - start) / DECISIONS);
  floor_spec_clear (&spec);
  floor_owner_destroy (owner);
}

/* A transport that only counts bytes. */
struct counting_transport
{
  struct ejection_transport base; /* first */
  size_t bytes;
};

static enum status
count_bytes (struct ejection_transport *transport, const char *to,
             const struct peer_message *message)
{
  size_t size;
  free (peer_message_encode (message, &size));
  ((struct counting_transport *)transport)->bytes = size;
  return STATUS_OK;
}

static void
measure_report (struct counting_transport *transport, size_t items)
{
  struct detection_report_item report_items[16] = { { .target_key = 0 } };
  struct rng rng;
  rng_seed (&rng, SEED);
  for (size_t i = 0; i < items; i++)
    {
      report_items[i].target_key = rng_next (&rng) | 1;
      report_items[i].evidence.requests = 40;
      report_items[i].evidence.latency[4] = 20;
      report_items[i].evidence.latency[5] = 20;
    }
  const struct ejection_report report = { .service = "deposit-holds",
                                          .epoch = 12,
                                          .incarnation = rng_next (&rng),
                                          .poll_ms = 123456789,
                                          .dc = "north-a",
                                          .demand = 40,
                                          .items = report_items,
                                          .count = items };
  ejection_send_report (&transport->base, "host", &report);
  printf ("figure evidence_report_bytes_%zu_targets %zu B\n", items,
          transport->bytes);
}

static void
measure_decision_bytes (struct counting_transport *transport)
{
  const struct ejection_notice notice = { .kind = EJECTION_DECISION,
                                          .service = "deposit-holds",
                                          .epoch = 12,
                                          .sequence = 40,
                                          .enforce_ms = 3000,
                                          .incarnation = UINT64_MAX / 3,
                                          .poll_ms = 123456789,
                                          .share = { 833, 417 } };
  ejection_send_notice (&transport->base, "host", &notice);
  printf ("figure decision_bytes_nothing_ejected %zu B\n", transport->bytes);
}

int
main (void)
{
  static const struct ejection_transport_ops ops = { .send = count_bytes };
  struct counting_transport transport = { .base = { .ops = &ops } };
  measure_tickets ();
  measure_decision (10);
  measure_decision (1000);
  measure_report (&transport, 0);
  measure_report (&transport, 10);
  measure_decision_bytes (&transport);
  return 0;
}
