/* Requests with and without keys, and which of their fields targets
   receive. */
#include "node/caller/tests/caller_fixture.h"

extern "C"
{
#include "base/clock.h"
}

namespace
{
std::string
digest_text (const std::string &key)
{
  const digest made = digest_of (key.data (), key.size ());
  char text[DIGEST_TEXT_SIZE];
  digest_format (&made, text);
  return text;
}

std::string
workspace (const std::string &name, const std::string &key)
{
  return "{ 'name': '" + name + "', 'keys': [ '" + digest_text (key) + "' ] }";
}

class AccessTest : public CallerTest
{
protected:
  void
  SetUp () override
  {
    CallerTest::SetUp ();
    target = add_target ("t1");
    start ();
    put_service (usual_routes);
    put_config (", 'workspaces': [" + workspace ("june", "key-june") + ", "
                + workspace ("july", "key-july") + "]");
    ev_run (loop, EVRUN_NOWAIT);
  }

  std::unique_ptr<Call>
  send (const std::string &path, const std::vector<std::string> &fields,
        const std::string &method = "GET")
  {
    auto call = make (method, path, "r1");
    call->fields.insert (call->fields.end (), fields.begin (), fields.end ());
    finish (call.get ());
    return call;
  }

  target_server *target = nullptr;
};

TEST_F (AccessTest, TargetReceivesWorkspaceButNotKey)
{
  const auto call
      = send ("/headers", { "Authorization: Bearer key-june",
                            "Jaystair-Workspace: july", "X-Kept: 1" });
  EXPECT_EQ (call->status, 200);
  const std::string &received = call->answer;
  EXPECT_NE (received.find ("Jaystair-Workspace: june\n"), std::string::npos)
      << received;
  EXPECT_EQ (received.find ("july"), std::string::npos) << received;
  EXPECT_EQ (received.find ("key-june"), std::string::npos) << received;
  EXPECT_NE (received.find ("X-Kept: 1\n"), std::string::npos) << received;
}

/* A caller sends another workspace's name in a field name that a target's
   framework may treat as the workspace field. */
TEST_F (AccessTest, ForgedWorkspaceFieldIsRemovedInAnySpelling)
{
  const auto call = send ("/headers", { "Authorization: Bearer key-june",
                                        "jaystair_workspace: july",
                                        "JAYSTAIR-WORKSPACE: july" });
  EXPECT_EQ (call->status, 200);
  EXPECT_EQ (call->answer.find ("july"), std::string::npos) << call->answer;
}

TEST_F (AccessTest, OpenRouteNeedsNoKeyAndForwardsNone)
{
  EXPECT_EQ (send ("/open/x", {})->status, 200);
  const auto call = send ("/open/headers", { "Authorization: Bearer key-june",
                                             "Jaystair-Workspace: july" });
  EXPECT_EQ (call->status, 200);
  EXPECT_EQ (call->answer.find ("key-june"), std::string::npos)
      << call->answer;
  EXPECT_EQ (call->answer.find ("july"), std::string::npos) << call->answer;
}

TEST_F (AccessTest, InvalidKeyGetsChallenge)
{
  for (const char *field :
       { "X-Nothing: 1", "Authorization: Bearer other",
         "Authorization: Bearer", "Authorization: Basic a2V5LWp1bmU=" })
    {
      const auto call = send ("/headers", { field });
      EXPECT_EQ (call->status, 401) << field;
      EXPECT_EQ (call->field ("www-authenticate"), "Bearer");
      EXPECT_EQ (call->field ("jaystair-outcome"), "not-run");
      EXPECT_EQ (call->field ("retry-after"), "");
    }
  EXPECT_EQ (target_server_counts (target).runs, 0u);
}

TEST_F (AccessTest, MissingRouteIsNotFoundForAnyKey)
{
  put_config (", 'workspaces': [" + workspace ("june", "key-june") + "]");
  auto call = make ("DELETE", "/x", "r1");
  finish (call.get ());
  EXPECT_EQ (call->status, 404);
}

/* After a key is revoked, the next request with it must not run, and the
   workspace's other key stays valid. */
TEST_F (AccessTest, RevokedKeyIsRefusedAndNewKeyIsAccepted)
{
  EXPECT_EQ (send ("/x", { "Authorization: Bearer key-june" })->status, 200);
  put_config (", 'workspaces': [" + workspace ("june", "key-june-2") + "]");
  EXPECT_EQ (send ("/x", { "Authorization: Bearer key-june" })->status, 401);
  EXPECT_EQ (send ("/x", { "Authorization: Bearer key-june-2" })->status, 200);
}

/* After a refusal the next request on the same connection is served. */
TEST_F (AccessTest, ConnectionIsKeptAfterRefusal)
{
  const auto raw = connect_raw ();
  raw->write ("GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
              "GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: r2\r\n"
              "Authorization: Bearer key-july\r\n\r\n");
  EXPECT_TRUE (run_until ([&raw] {
    return raw->received.find ("t1 r2 ") != std::string::npos;
  })) << raw->received;
  EXPECT_EQ (raw->received.rfind ("HTTP/1.1 401", 0), 0u) << raw->received;
  EXPECT_FALSE (raw->closed);
}

TEST_F (AccessTest, RefusalDoesNotWaitForBody)
{
  const auto raw = connect_raw ();
  raw->write ("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"
              "only the beginning");
  EXPECT_TRUE (run_until ([&raw] {
    return raw->received.find ("HTTP/1.1 401") != std::string::npos;
  }));
}

/* A retry at another target must not send the key either. */
TEST_F (AccessTest, RetrySendsNoKey)
{
  add_target ("t2");
  put_service (usual_routes);
  ev_run (loop, EVRUN_NOWAIT);
  for (target_server *each : targets)
    target_server_faults (each)->shed = 50;
  for (int i = 0; i < 20; i++)
    {
      const auto call
          = send ("/headers", { "Authorization: Bearer key-june" });
      if (call->status != 200)
        continue;
      EXPECT_EQ (call->answer.find ("key-june"), std::string::npos);
      EXPECT_NE (call->answer.find ("Jaystair-Workspace: june\n"),
                 std::string::npos);
    }
}

/* A host that is newly started or partitioned can't tell which keys are in
   force. */
class FreshnessTest : public AccessTest
{
protected:
  void
  SetUp () override
  {
    AccessTest::SetUp ();
    settings.access.revoke_ms = 5000;
    bus_subscribe (
        the_bus, BUS_FRESHNESS_REQUESTED,
        [] (void *owner, const bus_message *) {
          static_cast<FreshnessTest *> (owner)->proof_requests++;
        },
        this);
  }

  void
  TearDown () override
  {
    bus_unsubscribe (the_bus, this);
    AccessTest::TearDown ();
  }

  void
  prove (uint64_t config_version, int64_t age_ms)
  {
    bus_message message = {};
    message.topic = BUS_FRESHNESS;
    message.freshness = { config_version, clock_now_ms () - age_ms };
    bus_post (the_bus, &message);
  }

  const std::string valid_key = "Authorization: Bearer key-june";
  const std::string unknown_key = "Authorization: Bearer other";
  int proof_requests = 0;
};

/* Without a proof a key is neither accepted nor rejected: an unknown key may
   be new, and a known one may have been revoked. */
TEST_F (FreshnessTest, KeysAreNotEvaluatedWithoutProof)
{
  for (const std::string &field : { valid_key, unknown_key })
    {
      const auto call = send ("/x", { field });
      EXPECT_EQ (call->status, 503);
      EXPECT_EQ (call->field ("jaystair-outcome"), "not-run");
      EXPECT_NE (call->field ("retry-after"), "");
    }
  EXPECT_EQ (target_server_counts (target).runs, 0u);
  EXPECT_EQ (send ("/open/x", {})->status, 200);
}

TEST_F (FreshnessTest, RequestWaitsForProof)
{
  auto call = make ("GET", "/x", "r1");
  call->fields.push_back (valid_key);
  begin (call.get ());
  ASSERT_TRUE (run_until ([this] { return proof_requests > 0; }));
  prove (version, 0);
  ASSERT_TRUE (run_until ([&call] { return call->done; }));
  EXPECT_EQ (call->status, 200);
}

/* A body that arrives while its request waits for a proof is neither lost nor
   causes a crash. */
TEST_F (FreshnessTest, UploadWaitsForProof)
{
  auto call = make ("POST", "/x", "r1");
  call->body = std::string (300000, 'b');
  call->fields.push_back (valid_key);
  begin (call.get ());
  ASSERT_TRUE (run_until ([this] { return proof_requests > 0; }));
  prove (version, 0);
  ASSERT_TRUE (run_until ([&call] { return call->done; }));
  EXPECT_EQ (call->status, 200);
  EXPECT_NE (call->answer.find (" 300000"), std::string::npos);
}

TEST_F (FreshnessTest, ExpiredProofIsIgnored)
{
  prove (version, 4990);
  EXPECT_EQ (send ("/x", { valid_key })->status, 503);
  prove (version, 3000);
  EXPECT_EQ (send ("/x", { valid_key })->status, 200);
}

/* Another host proves that there is a newer version, which revokes the key.
   Until it is received, the old version accepts and rejects no key. */
TEST_F (FreshnessTest, ProofOfNewerVersionNeedsThatVersion)
{
  prove (version + 1, 0);
  EXPECT_EQ (send ("/x", { valid_key })->status, 503);
  put_config (", 'workspaces': [" + workspace ("june", "key-june-2") + "]");
  EXPECT_EQ (send ("/x", { valid_key })->status, 401);
}

/* No proof comes: after the first requests have waited, all others are refused
   at once. */
TEST_F (FreshnessTest, RequestsAreRefusedAtOnceAfterMissingProof)
{
  EXPECT_EQ (send ("/x", { valid_key })->status, 503);
  const int64_t before_ms = clock_now_ms ();
  for (int i = 0; i < 20; i++)
    EXPECT_EQ (send ("/x", { valid_key })->status, 503);
  EXPECT_LT (clock_now_ms () - before_ms, 20 * 250);
}

/* Requests of a workspace with a quota.  The test acts as the quota
   coordinator. */
class QuotaTest : public AccessTest
{
protected:
  void
  SetUp () override
  {
    AccessTest::SetUp ();
    put_config (", 'workspaces': [ { 'name': 'june', 'keys': [ '"
                + digest_text ("key-june") + "' ], 'rate_per_s': 5 }, "
                + workspace ("july", "key-july") + "]");
    bus_subscribe (
        the_bus, BUS_QUOTA_REQUESTED,
        [] (void *owner, const bus_message *message) {
          auto *self = static_cast<QuotaTest *> (owner);
          self->requested_tokens += message->quota.answer.requested;
          self->answer (message->quota);
        },
        this);
    ev_run (loop, EVRUN_NOWAIT);
  }

  void
  TearDown () override
  {
    bus_unsubscribe (the_bus, this);
    AccessTest::TearDown ();
  }

  void
  answer (const bus_quota &request)
  {
    if (is_silent)
      return;
    const uint32_t requested = request.answer.requested;
    bus_message message = {};
    message.topic = BUS_QUOTA_GRANTED;
    message.quota.workspace = request.workspace;
    message.quota.answer.requested_ms = clock_now_ms ();
    message.quota.answer.requested = requested;
    message.quota.answer.tokens
        = requested < remaining_tokens ? requested : remaining_tokens;
    message.quota.answer.term_ms = 400;
    message.quota.answer.next_token_ms = next_token_ms;
    remaining_tokens -= message.quota.answer.tokens;
    bus_post (the_bus, &message);
  }

  std::unique_ptr<Call>
  send_june ()
  {
    return send ("/x", { "Authorization: Bearer key-june" });
  }

  uint32_t requested_tokens = 0;
  uint32_t remaining_tokens = 0; /**< tokens of the coordinator */
  uint32_t next_token_ms = 1500;
  bool is_silent = false;
};

TEST_F (QuotaTest, EachRequestTakesOneToken)
{
  remaining_tokens = 3;
  for (int i = 0; i < 3; i++)
    EXPECT_EQ (send_june ()->status, 200);
  EXPECT_EQ (remaining_tokens, 0u);
  EXPECT_EQ (requested_tokens, 3u);
}

TEST_F (QuotaTest, RequestOverQuotaGetsRetryTime)
{
  const auto call = send_june ();
  EXPECT_EQ (call->status, 429);
  EXPECT_EQ (call->field ("jaystair-outcome"), "not-run");
  EXPECT_GT (std::stol (call->field ("jaystair-retry-after-ms")), 1000);
  EXPECT_EQ (target_server_counts (target).runs, 0u);
  EXPECT_EQ (send ("/x", { "Authorization: Bearer key-july" })->status, 200);
  EXPECT_EQ (send ("/open/x", {})->status, 200);
}

/* Refusals of an unrepeatable request for its quota: it must not run once
   there are tokens again. */
TEST_F (QuotaTest, RefusedPostNeverRuns)
{
  for (const bool silent : { false, true })
    {
      is_silent = silent;
      remaining_tokens = 0;
      const std::string id = silent ? "unknown" : "over";
      auto post = make ("POST", "/holds", id);
      post->fields.push_back ("Authorization: Bearer key-june");
      post->fields.push_back ("Jaystair-Deadline-Ms: 1000");
      finish (post.get ());
      EXPECT_EQ (post->status, silent ? 503 : 429) << post->answer;
      EXPECT_EQ (post->field ("jaystair-outcome"), "not-run");
      is_silent = false;
      remaining_tokens = 100;
      ASSERT_TRUE (run_until ([this] { return send_june ()->status == 200; }));
      EXPECT_EQ (target_server_runs (target, id.c_str ()), 0u);
    }
}

/* A retry at another target belongs to the same request and takes no second
   token. */
TEST_F (QuotaTest, RetryTakesNoToken)
{
  add_target ("t2");
  put_service (usual_routes);
  ev_run (loop, EVRUN_NOWAIT);
  target_server_faults (targets[0])->shed = 100;
  remaining_tokens = 1;
  EXPECT_EQ (send_june ()->status, 200);
  EXPECT_EQ (remaining_tokens, 0u);
}

/* A request that no target has run gives its token back. */
TEST_F (QuotaTest, RequestThatWasNotRunReturnsToken)
{
  target_server_faults (target)->shed = 100;
  remaining_tokens = 1;
  EXPECT_EQ (send_june ()->status, 503);
  target_server_faults (target)->shed = 0;
  EXPECT_EQ (send_june ()->status, 200);
}

TEST_F (QuotaTest, RequestWaitsForTokenDueSoon)
{
  next_token_ms = 50;
  auto call = make ("GET", "/x", "r1");
  call->fields.push_back ("Authorization: Bearer key-june");
  begin (call.get ());
  ASSERT_TRUE (run_until ([this] { return requested_tokens > 0; }));
  remaining_tokens = 1;
  ASSERT_TRUE (run_until ([&call] { return call->done; }));
  EXPECT_EQ (call->status, 200);
}

/* No coordinator answers.  The first requests wait for a limited time, all
   others are refused at once, and not with the status of an exhausted
   quota. */
TEST_F (QuotaTest, WaitForSilentCoordinatorIsLimited)
{
  is_silent = true;
  EXPECT_EQ (send_june ()->status, 503);
  const int64_t before_ms = clock_now_ms ();
  for (int i = 0; i < 20; i++)
    {
      const auto call = send_june ();
      EXPECT_EQ (call->status, 503);
      EXPECT_NE (call->field ("retry-after"), "");
    }
  EXPECT_LT (clock_now_ms () - before_ms, 2000);
  EXPECT_EQ (target_server_counts (target).runs, 0u);
}

/* A key is revoked while its request waits for a token. */
TEST_F (QuotaTest, KeyRevokedDuringWaitIsRefused)
{
  next_token_ms = 50;
  auto call = make ("GET", "/x", "r1");
  call->fields.push_back ("Authorization: Bearer key-june");
  begin (call.get ());
  ASSERT_TRUE (run_until ([this] { return requested_tokens > 0; }));
  put_config (", 'workspaces': [" + workspace ("june", "key-june-2") + "]");
  remaining_tokens = 1;
  ASSERT_TRUE (run_until ([&call] { return call->done; }));
  EXPECT_EQ (call->status, 401);
}

/* Without workspaces, Authorization is forwarded, because it is meant for the
   targets. */
TEST_F (AccessTest, WithoutWorkspacesAuthorizationIsForwarded)
{
  put_config ("");
  const auto call = send ("/headers", { "Authorization: Bearer key-june",
                                        "Jaystair-Workspace: july" });
  EXPECT_EQ (call->status, 200);
  EXPECT_NE (call->answer.find ("key-june"), std::string::npos);
  EXPECT_EQ (call->answer.find ("july"), std::string::npos) << call->answer;
}
} // namespace
