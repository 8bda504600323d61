#include "node/control/tests/control_fixture.h"

extern "C"
{
#include "base/clock.h"
#include "node/control/poison_record.h"
#include "policy/poison/poison_table.h"
}

namespace
{
class ControlPoison : public ControlFixture
{
protected:
  static poison_row
  make_block (uint64_t number)
  {
    poison_row row = {};
    row.fingerprint = { 1, number, number };
    row.strikes = 1;
    row.left_ms = 60000;
    return row;
  }

  static void
  announce (node &from, const poison_row &row, poison_recipients to,
            bool is_stored)
  {
    bus_message message = {};
    message.topic = BUS_POISON_ANNOUNCED;
    strcpy (message.poison.service, "holds");
    message.poison.rows
        = static_cast<poison_row *> (calloc (1, sizeof (poison_row)));
    message.poison.rows[0] = row;
    message.poison.count = 1;
    message.poison.to = to;
    message.poison.is_stored = is_stored;
    bus_post (from.bus, &message);
  }

  void
  subscribe (node &at)
  {
    bus_subscribe (at.bus, BUS_POISON_RECEIVED, on_received, &received[&at]);
  }

  static void
  on_received (void *owner, const bus_message *message)
  {
    auto *rows = static_cast<std::vector<poison_row> *> (owner);
    rows->insert (rows->end (), message->poison.rows,
                  message->poison.rows + message->poison.count);
  }

  size_t
  stored_count () const
  {
    size_t count = 0;
    const auto found = store.kinds.find (PLATFORM_KIND_POISON);
    if (found != store.kinds.end ())
      for (const auto &[name, object] : found->second)
        count += !object.removed;
    return count;
  }

  void
  put_record (uint64_t number, int64_t left_ms)
  {
    poison_record record = {};
    char name[FINGERPRINT_TEXT_SIZE];
    record.row = make_block (number);
    record.expires_unix_ms = clock_unix_ms () + left_ms;
    strcpy (record.service, "holds");
    fingerprint_format (&record.row.fingerprint, name);
    char *text = poison_record_format (&record);
    store.put (PLATFORM_KIND_POISON, name, text);
    free (text);
  }

  std::map<node *, std::vector<poison_row>> received;
};

/* A cleared block would remain stored if one host wrote it after another had
   removed it. */
TEST_F (ControlPoison, ClearedBlockIsRemovedByHostThatStoredIt)
{
  node &host = add ("h0", "d0");
  host.start (loop);
  ASSERT_TRUE (until ([&] { return control_has_settings (host.task); }));
  put_record (2, 60000);
  announce (host, make_block (1), POISON_TO_RANDOM_FEW, true);
  ASSERT_TRUE (until ([&] { return stored_count () == 2; }));
  for (const uint64_t number : { 2, 1 })
    {
      poison_row cleared = make_block (number);
      cleared.strikes = 0;
      announce (host, cleared, POISON_TO_RANDOM_FEW, false);
    }
  EXPECT_TRUE (until ([&] { return stored_count () == 1; }));
  EXPECT_EQ (store.kinds[PLATFORM_KIND_POISON].size (), 2u);
  for (const auto &[name, object] : store.kinds[PLATFORM_KIND_POISON])
    EXPECT_EQ (object.removed, name.back () == '1') << name;
}

/* A block must be stored although the platform was down when it was
   announced. */
TEST_F (ControlPoison, BlockIsStoredAfterPlatformRecovers)
{
  node &host = add ("h0", "d0");
  host.start (loop);
  ASSERT_TRUE (until ([&] { return control_has_settings (host.task); }));
  host.platform.is_down = true;
  announce (host, make_block (1), POISON_TO_RANDOM_FEW, true);
  announce (host, make_block (2), POISON_TO_RANDOM_FEW, true);
  ev_run (loop, EVRUN_NOWAIT);
  EXPECT_EQ (stored_count (), 0u);
  host.platform.is_down = false;
  EXPECT_TRUE (until ([&] { return stored_count () == 2; }));
  poison_row cleared = make_block (1);
  cleared.strikes = 0;
  announce (host, cleared, POISON_TO_RANDOM_FEW, true);
  EXPECT_TRUE (until ([&] { return stored_count () == 1; }));
}

/* Guards against a crash of the whole fleet after which requests are no longer
   blocked, because the platform's restore has lost the stored blocks. */
TEST_F (ControlPoison, BlocksLostInARestoreAreStoredAgain)
{
  const size_t blocks = 100; /* more than are queued at a time */
  node &host = add ("h0", "d0");
  host.start (loop);
  ASSERT_TRUE (until ([&] { return control_has_settings (host.task); }));
  for (uint64_t number = 0; number < blocks; number++)
    {
      announce (host, make_block (number), POISON_TO_RANDOM_FEW, true);
      ASSERT_TRUE (until ([&] { return stored_count () == number + 1; }));
    }
  const auto before = store.kinds[PLATFORM_KIND_POISON];
  store.kinds.erase (PLATFORM_KIND_POISON);
  host.platform.begin_next_era ();
  EXPECT_TRUE (until ([&] { return stored_count () == blocks; }));
  for (const auto &[name, object] : store.kinds[PLATFORM_KIND_POISON])
    EXPECT_EQ (object.value, before.at (name).value) << name;
}

/* A write must be neither lost nor repeated when its response is lost. */
TEST_F (ControlPoison, WriteIsRetriedAfterLostReply)
{
  node &host = add ("h0", "d0");
  host.start (loop);
  ASSERT_TRUE (until ([&] { return control_has_settings (host.task); }));
  host.platform.lost_responses = 1;
  announce (host, make_block (1), POISON_TO_RANDOM_FEW, true);
  announce (host, make_block (2), POISON_TO_RANDOM_FEW, true);
  EXPECT_TRUE (until ([&] { return stored_count () == 2; }));
}

/* After a restart of the whole fleet, blocked requests must remain blocked. */
TEST_F (ControlPoison, StartingHostLoadsStoredBlocks)
{
  put_record (1, 30000);
  put_record (2, -1000);
  put_record (3, -POISON_BLOCK_RETENTION_MS - 10000);
  store.put (PLATFORM_KIND_POISON, "not-a-fingerprint", "{}");
  node &host = add ("h0", "d0");
  subscribe (host);
  host.start (loop);
  ASSERT_TRUE (until ([&] { return received[&host].size () == 2; }));
  for (const poison_row &row : received[&host])
    if (row.fingerprint.low == 1)
      {
        EXPECT_GT (row.left_ms, 0u);
        EXPECT_LE (row.left_ms, 30000u);
      }
    else
      EXPECT_EQ (row.left_ms, 0u);
  EXPECT_TRUE (until ([&] { return stored_count () == 3; }));
}

/* A block must reach hosts outside the service's set and in other data
   centres. */
TEST_F (ControlPoison, BlockReachesAllHostsAndCrashReachesSet)
{
  store.put (PLATFORM_KIND_SERVICE, "holds", service_text ("holds", 4));
  start (4);
  for (const auto &host : nodes)
    subscribe (*host);
  ASSERT_TRUE (until ([&] {
    for (const auto &host : nodes)
      if (host->set_size ("holds") != 4)
        return false;
    return true;
  }));
  poison_row crash = make_block (1);
  crash.strikes = 0;
  crash.target = 5;
  announce (*nodes[0], crash, POISON_TO_SET, false);
  const auto all_received = [&] (size_t rows) {
    for (size_t i = 1; i < nodes.size (); i++)
      if (received[nodes[i].get ()].size () < rows)
        return false;
    return true;
  };
  EXPECT_TRUE (until ([&] { return all_received (1); }));
  announce (*nodes[0], make_block (2), POISON_TO_RANDOM_FEW, false);
  EXPECT_TRUE (until ([&] { return all_received (2); }));
  EXPECT_EQ (stored_count (), 0u);
}
} // namespace
