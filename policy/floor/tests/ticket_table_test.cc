// The ticket table against a list that keeps every claim, and its text form.
#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "base/hash.h"
#include "base/rng.h"
#include "policy/floor/ticket_table.h"
}

namespace
{
constexpr uint64_t incarnation = 0xfeedu;

uint64_t
check (void *key, uint64_t sequence, int64_t expires_ms)
{
  return hash_pair (hash_pair (*(uint64_t *)key, sequence),
                    (uint64_t)expires_ms);
}

struct TicketTable : testing::Test
{
  uint64_t key = 99;
  ticket_table *table = make (3);
  ticket first = {};

  ticket_table *
  make (uint32_t capacity)
  {
    const ticket_table_options options
        = { "north:1", incarnation, capacity, 1000, check, &key };
    return ticket_table_create (&options);
  }
  void
  SetUp () override
  {
    ASSERT_EQ (ticket_table_issue (table, 0, &first), STATUS_OK);
  }
  ~TicketTable () override
  {
    ticket_table_destroy (table);
  }
  ticket_claim
  claim (int64_t now_ms, const ticket &t)
  {
    return ticket_table_claim (table, now_ms, &t);
  }
};

TEST_F (TicketTable, ParsesItsOwnTextForm)
{
  char text[TICKET_TEXT_SIZE];
  ticket_format (&first, text);
  ticket back;
  ASSERT_TRUE (ticket_parse (text, &back));
  EXPECT_STREQ (back.host, "north:1");
  EXPECT_EQ (claim (0, back), TICKET_CLAIM_RUN);
  for (const char *bad :
       { "", ":", "h:1:2:3", "h:1:2:3:", ":1:2:3:4", "h:1:2:3:4 ",
         "h:1:2:3:-4", "h:1:2:3:04", "h:1:2:3:A", "h:1:2:ffffffffffffffff:4",
         "h:1:2:3:12345678901234567" })
    EXPECT_FALSE (ticket_parse (bad, &back)) << bad;
  EXPECT_FALSE (ticket_parse (std::string (300, 'h').c_str (), &back));
}

// The caller sends a request again while the first one still runs, or after
// its response was lost.  A second claim would run it twice.
TEST_F (TicketTable, SecondClaimNeverRuns)
{
  EXPECT_EQ (claim (1, first), TICKET_CLAIM_RUN);
  EXPECT_EQ (claim (2, first), TICKET_CLAIM_DUPLICATE_RUNNING);
  ticket_table_finish (table, 3, first.sequence, TICKET_END_ANSWERED, 201);
  EXPECT_EQ (claim (4, first), TICKET_CLAIM_DUPLICATE_ANSWERED);
  EXPECT_EQ (ticket_table_answer_code (table, first.sequence), 201);
}

TEST_F (TicketTable, OnlyNotRunMayRunAgain)
{
  EXPECT_EQ (claim (1, first), TICKET_CLAIM_RUN);
  ticket_table_finish (table, 2, first.sequence, TICKET_END_NOT_RUN, 0);
  EXPECT_EQ (claim (3, first), TICKET_CLAIM_RUN);
  ticket_table_finish (table, 4, first.sequence, TICKET_END_UNKNOWN, 0);
  EXPECT_EQ (claim (5, first), TICKET_CLAIM_DUPLICATE_UNKNOWN);
}

TEST_F (TicketTable, IdentifiesTheIssuer)
{
  ticket other = first;
  snprintf (other.host, sizeof other.host, "south");
  EXPECT_EQ (claim (1, other), TICKET_CLAIM_NOT_ISSUED_HERE);
  other = first;
  other.incarnation++;
  EXPECT_EQ (claim (1, other), TICKET_CLAIM_WRONG_INCARNATION);
}

// A caller claims a sequence that is issued to another one later, or extends
// the lifetime of its own ticket.  An unrepeatable request would run twice.
TEST_F (TicketTable, ForgedTicketNeverRuns)
{
  ticket forged = first;
  forged.expires_ms++;
  EXPECT_EQ (claim (1, forged), TICKET_CLAIM_FORGED);
  forged = first;
  forged.sequence++;
  forged.mac = check (&key, forged.sequence, forged.expires_ms);
  EXPECT_EQ (claim (1, forged), TICKET_CLAIM_FORGED);
}

// A run takes longer than the lifetime of its ticket, the claim is dropped at
// expiry, and the caller sends again.  An unrepeatable request would run
// twice.
TEST_F (TicketTable, RunOutlivesItsTicket)
{
  EXPECT_EQ (claim (1, first), TICKET_CLAIM_RUN);
  EXPECT_EQ (claim (5000, first), TICKET_CLAIM_DUPLICATE_RUNNING);
  ticket_table_finish (table, 5001, first.sequence, TICKET_END_ANSWERED, 0);
  ticket next;
  for (int i = 0; i < 9; i++)
    ASSERT_EQ (ticket_table_issue (table, 6000, &next), STATUS_OK);
  EXPECT_EQ (ticket_table_count (table), 0U);
  EXPECT_EQ (claim (6000, first), TICKET_CLAIM_EXPIRED);
}

// The table is full, the oldest claim is replaced by the newest, and the
// oldest caller sends again.  An unrepeatable request would run twice.
TEST_F (TicketTable, FullTableRefusesAndKeepsAllClaims)
{
  std::vector<ticket> tickets (4);
  for (auto &t : tickets)
    ASSERT_EQ (ticket_table_issue (table, 10, &t), STATUS_OK);
  for (int i = 0; i < 3; i++)
    EXPECT_EQ (claim (20, tickets[i]), TICKET_CLAIM_RUN);
  EXPECT_EQ (claim (20, tickets[3]), TICKET_CLAIM_FULL);
  ticket refused;
  EXPECT_EQ (ticket_table_issue (table, 20, &refused), STATUS_LIMIT);
  EXPECT_EQ (claim (20, tickets[0]), TICKET_CLAIM_DUPLICATE_RUNNING);
  ticket_table_finish (table, 21, tickets[0].sequence, TICKET_END_NOT_RUN, 0);
  EXPECT_EQ (claim (22, tickets[3]), TICKET_CLAIM_RUN);
}

// The state of a ticket in the list.
struct listed
{
  ticket t;
  enum
  {
    UNUSED,
    RUNNING,
    ANSWERED,
    UNKNOWN
  } state
      = UNUSED;
  int runs = 0; // reset to 0 by a "not run"
};

// Returns the result of a claim by the list; FULL is checked separately.
ticket_claim
expected (const listed &l, int64_t now_ms)
{
  switch (l.state)
    {
    case listed::RUNNING:
      return TICKET_CLAIM_DUPLICATE_RUNNING;
    case listed::ANSWERED:
      return l.t.expires_ms <= now_ms ? TICKET_CLAIM_EXPIRED
                                      : TICKET_CLAIM_DUPLICATE_ANSWERED;
    case listed::UNKNOWN:
      return l.t.expires_ms <= now_ms ? TICKET_CLAIM_EXPIRED
                                      : TICKET_CLAIM_DUPLICATE_UNKNOWN;
    default:
      return l.t.expires_ms <= now_ms ? TICKET_CLAIM_EXPIRED
                                      : TICKET_CLAIM_RUN;
    }
}

// After expiry the table may still hold the claim or not; both are refused.
bool
agrees (ticket_claim got, ticket_claim want)
{
  const bool late = got == TICKET_CLAIM_DUPLICATE_ANSWERED
                    || got == TICKET_CLAIM_DUPLICATE_UNKNOWN;
  return got == want || (want == TICKET_CLAIM_EXPIRED && late);
}

TEST_F (TicketTable, AgreesWithAListOfAllClaims)
{
  constexpr uint64_t events = 1000000;
  constexpr uint32_t capacity = 64;
  constexpr size_t recent = 90;
  uint64_t full = 0, duplicates = 0, runs = 0;
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      ticket_table_destroy (table);
      table = make (capacity);
      rng random;
      rng_seed (&random, seed);
      std::vector<listed> list;
      std::vector<size_t> running; // so that old runs end, too
      // With every other seed fewer runs end, so that the table becomes full.
      const uint64_t finish_from = seed % 2 == 0 ? 94 : 60;
      int64_t now_ms = 0;
      for (uint64_t n = 0; n < events / 20; n++)
        {
          now_ms += rng_below (&random, 20);
          const uint64_t act = rng_below (&random, 100);
          if (act < 25 || list.empty ())
            {
              listed l;
              if (ticket_table_issue (table, now_ms, &l.t) == STATUS_OK)
                list.push_back (l);
              continue;
            }
          const size_t span = std::min (list.size (), recent);
          const bool finish = act >= finish_from && !running.empty ();
          const size_t at = finish
                                ? running[rng_below (&random, running.size ())]
                                : list.size () - 1 - rng_below (&random, span);
          listed &l = list[at];
          if (!finish)
            {
              const ticket_claim got = claim (now_ms, l.t);
              const ticket_claim want = expected (l, now_ms);
              if (got == TICKET_CLAIM_FULL)
                {
                  full++;
                  ASSERT_EQ (want, TICKET_CLAIM_RUN);
                  ASSERT_EQ (ticket_table_count (table), capacity);
                  continue;
                }
              ASSERT_TRUE (agrees (got, want))
                  << "seed " << seed << " fails after " << n + 1
                  << " events: got " << ticket_claim_name (got) << ", list "
                  << ticket_claim_name (want);
              duplicates += got != TICKET_CLAIM_RUN;
              if (got != TICKET_CLAIM_RUN)
                continue;
              runs++;
              l.state = listed::RUNNING;
              running.push_back (at);
              ASSERT_EQ (++l.runs, 1) << "seed " << seed << " event " << n;
            }
          else
            {
              running.erase (std::find (running.begin (), running.end (), at));
              const ticket_end end = (ticket_end)rng_below (&random, 3);
              ticket_table_finish (table, now_ms, l.t.sequence, end, 0);
              l.runs -= end == TICKET_END_NOT_RUN;
              l.state = end == TICKET_END_ANSWERED  ? listed::ANSWERED
                        : end == TICKET_END_UNKNOWN ? listed::UNKNOWN
                                                    : listed::UNUSED;
            }
        }
    }
  printf ("runs %lu duplicates %lu full %lu\n", runs, duplicates, full);
  EXPECT_GT (runs, events / 50);
  EXPECT_GT (duplicates, events / 50);
  EXPECT_GT (full, events / 1000);
}
}
