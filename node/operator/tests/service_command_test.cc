#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <string>

extern "C"
{
#include "node/operator/service_command.h"
#include "wire/service_spec_diff.h"
}

namespace
{

const char *const holds
    = "{\"name\":\"holds\",\"floor_capacity\":4,\"targets\":["
      "{\"name\":\"h1\",\"address\":\"127.0.0.1:1\"},"
      "{\"name\":\"h2\",\"address\":\"127.0.0.1:2\"}]}";

/* What the fake platform does with a write. */
enum class WriteOutcome
{
  answered,
  lost_after_effect,
  lost_without_effect,
  lost_then_effect_later, /* queued in the platform; see queued_write */
  unreachable
};

/* A platform with one object.  Its answers are queued until pump(). */
struct fake_platform
{
  struct platform platform;
  uint64_t version = 5;
  std::string value = holds;
  bool exists = true;
  int failing_reads = 0; /* the number of reads that will fail */
  int writes = 0;
  std::deque<WriteOutcome> write_outcomes;
  std::deque<std::function<void ()>> answers;
  std::function<void ()> queued_write;
  std::function<void ()>
      on_before_write; /* called before a write is applied */

  bool
  apply (uint64_t expected, const std::string &text)
  {
    if (!exists || expected != version)
      return false;
    version++;
    value = text;
    return true;
  }

  void
  answer (platform_done *done, void *owner, enum status status,
          bool with_object)
  {
    const struct platform_object object = { "holds", version, value.c_str () };
    struct platform_reply reply = {};
    reply.status = status;
    reply.message = "from the fake platform";
    reply.objects = &object;
    reply.count = with_object && exists ? 1 : 0;
    done (owner, &reply);
  }
};

fake_platform *
fake_of (struct platform *platform)
{
  return reinterpret_cast<fake_platform *> (platform);
}

void
fake_get (struct platform *platform, const char *, const char *,
          platform_done *done, void *owner)
{
  fake_platform *fake = fake_of (platform);
  fake->answers.push_back ([=] {
    if (fake->failing_reads > 0)
      {
        fake->failing_reads--;
        fake->answer (done, owner, STATUS_UNREACHABLE, false);
        return;
      }
    fake->answer (done, owner, fake->exists ? STATUS_OK : STATUS_NOT_FOUND,
                  true);
  });
}

void
fake_put (struct platform *platform, const char *, const char *,
          uint64_t expected, const char *value, platform_done *done,
          void *owner)
{
  fake_platform *fake = fake_of (platform);
  const std::string text = value;
  WriteOutcome outcome = WriteOutcome::answered;
  if (!fake->write_outcomes.empty ())
    {
      outcome = fake->write_outcomes.front ();
      fake->write_outcomes.pop_front ();
    }
  fake->writes++;
  fake->answers.push_back ([=] {
    if (fake->on_before_write)
      fake->on_before_write ();
    fake->on_before_write = nullptr;
    if (outcome == WriteOutcome::lost_then_effect_later)
      fake->queued_write = [=] { fake->apply (expected, text); };
    const bool effective = (outcome == WriteOutcome::answered
                            || outcome == WriteOutcome::lost_after_effect)
                           && fake->apply (expected, text);
    if (outcome == WriteOutcome::answered)
      fake->answer (done, owner, effective ? STATUS_OK : STATUS_REFUSED, true);
    else
      fake->answer (done, owner,
                    outcome == WriteOutcome::unreachable ? STATUS_UNREACHABLE
                                                         : STATUS_LOST_ANSWER,
                    false);
  });
}

void
fake_cancel (struct platform *platform, void *)
{
  fake_of (platform)->answers.clear ();
}

const struct platform_ops fake_ops
    = { fake_get, nullptr, fake_put, nullptr, fake_cancel, nullptr };

struct command_result
{
  int calls = 0;
  enum status status = STATUS_SYSTEM;
  std::string message;
  std::string changed;
  uint64_t version = 0;
  uint64_t acted_on = 0;
};

void
on_done (void *owner, const struct operator_result *result)
{
  auto *end = static_cast<command_result *> (owner);
  end->calls++;
  end->status = result->status;
  end->message = result->message != nullptr ? result->message : "";
  end->changed = result->changed != nullptr ? result->changed : "";
  end->version = result->version;
  end->acted_on = result->acted_on_version;
}

class ServiceCommand : public testing::Test
{
protected:
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  fake_platform fake;
  command_result result;

  void
  SetUp () override
  {
    fake.platform.ops = &fake_ops;
  }

  void
  TearDown () override
  {
    ev_loop_destroy (loop);
  }

  struct service_command *
  start (enum operator_verb verb, const char *target = "",
         uint64_t version = OPERATOR_ANY_VERSION, uint32_t limit_ms = 60000)
  {
    struct operator_command command = {};
    command.verb = verb;
    snprintf (command.service, sizeof command.service, "holds");
    snprintf (command.target, sizeof command.target, "%s", target);
    command.floor_capacity = 6;
    command.version = version;
    struct service_command_options options = {};
    options.loop = loop;
    options.platform = &fake.platform;
    options.back_off_ms = 1;
    options.limit_ms = limit_ms;
    return service_command_start (&options, &command, on_done, &result);
  }

  /* Deliver the next answer of the platform. */
  void
  step ()
  {
    const auto answer = fake.answers.front ();
    fake.answers.pop_front ();
    answer ();
  }

  void
  pump ()
  {
    EXPECT_EQ (result.calls, 0) << "called from within the start";
    while (result.calls == 0)
      {
        if (fake.answers.empty ())
          ev_run (loop, EVRUN_ONCE);
        while (!fake.answers.empty ())
          step ();
      }
    EXPECT_EQ (result.calls, 1);
  }

  /* How the fake's service differs from HOLDS. */
  std::string
  difference () const
  {
    char text[512];
    struct service_spec *before;
    struct service_spec *after;
    service_spec_parse ("f", holds, 0, &before);
    service_spec_parse ("f", fake.value.c_str (), 0, &after);
    service_spec_diff (before, after, text, sizeof text);
    service_spec_destroy (before);
    service_spec_destroy (after);
    return text;
  }

  void
  set_floor_9_as_other_operator ()
  {
    std::string text = fake.value;
    text.replace (text.find ("\"floor_capacity\":"), 18,
                  "\"floor_capacity\":9");
    fake.apply (fake.version, text);
  }
};

TEST_F (ServiceCommand, AppliesEachVerb)
{
  const struct
  {
    enum operator_verb verb;
    const char *target;
    const char *difference;
  } verbs[] = {
    { OPERATOR_DRAIN, "h2", "target h2: state active to drained" },
    { OPERATOR_UNDRAIN, "h2", "" },
    { OPERATOR_PAUSE_EJECTION, "", "ejection paused" },
    { OPERATOR_RESUME_EJECTION, "", "" },
    { OPERATOR_SET_FLOOR, "", "floor_capacity 4 to 6" },
  };
  for (const auto &verb : verbs)
    {
      result = command_result ();
      const uint64_t before = fake.version;
      start (verb.verb, verb.target);
      pump ();
      EXPECT_EQ (result.status, STATUS_OK) << result.message;
      EXPECT_EQ (result.acted_on, before);
      EXPECT_EQ (result.version, before + 1);
      EXPECT_EQ (difference (), verb.difference);
    }
}

TEST_F (ServiceCommand, NoChangeIsNotWritten)
{
  start (OPERATOR_UNDRAIN, "h1");
  pump ();
  EXPECT_EQ (result.status, STATUS_OK);
  EXPECT_EQ (result.version, 5u);
  EXPECT_EQ (fake.writes, 0);
}

TEST_F (ServiceCommand, InvalidCommandsChangeNothing)
{
  start (OPERATOR_DRAIN, "h3");
  pump ();
  EXPECT_EQ (result.status, STATUS_NOT_FOUND);
  EXPECT_NE (result.message.find ("no target h3"), std::string::npos);
  result = command_result ();
  start (OPERATOR_EJECT, "h1");
  pump ();
  EXPECT_EQ (result.status, STATUS_INVALID);
  result = command_result ();
  fake.exists = false;
  start (OPERATOR_DRAIN, "h1");
  pump ();
  EXPECT_EQ (result.status, STATUS_NOT_FOUND);
  EXPECT_EQ (fake.writes, 0);
}

TEST_F (ServiceCommand, OutdatedVersionIsRefusedWithCurrentState)
{
  start (OPERATOR_DRAIN, "h1", 4);
  pump ();
  EXPECT_EQ (result.status, STATUS_REFUSED);
  EXPECT_EQ (result.version, 5u);
  EXPECT_EQ (result.changed,
             "version 5: floor_capacity 4; ejection automatic; "
             "target h1 active");
  EXPECT_EQ (fake.writes, 0);
}

/* Two operators send commands at the same time.  Both read version 5, and the
   other one's write takes effect first.  The second write must not undo it,
   and its operator must be told what changed. */
TEST_F (ServiceCommand, ConflictIsRefusedWithWhatChanged)
{
  fake.on_before_write = [this] { set_floor_9_as_other_operator (); };
  start (OPERATOR_DRAIN, "h1");
  pump ();
  EXPECT_EQ (result.status, STATUS_REFUSED);
  EXPECT_EQ (result.changed, "floor_capacity 4 to 9");
  EXPECT_EQ (result.version, 6u);
  EXPECT_EQ (difference (), "floor_capacity 4 to 9");
}

TEST_F (ServiceCommand, OutageIsReportedWithReason)
{
  fake.failing_reads = 1;
  start (OPERATOR_DRAIN, "h1");
  pump ();
  EXPECT_EQ (result.status, STATUS_UNREACHABLE);
  EXPECT_NE (result.message.find ("nothing was changed"), std::string::npos);
  result = command_result ();
  fake.write_outcomes = { WriteOutcome::unreachable };
  start (OPERATOR_DRAIN, "h1");
  pump ();
  EXPECT_EQ (result.status, STATUS_UNREACHABLE);
  EXPECT_EQ (difference (), "");
}

/* The write takes effect, its response is lost, and the platform can't be read
   for some time.  The command must end as accepted, written once. */
TEST_F (ServiceCommand, LostAnswerIsReadBack)
{
  fake.write_outcomes = { WriteOutcome::lost_after_effect };
  start (OPERATOR_DRAIN, "h1");
  step ();
  fake.failing_reads = 3;
  pump ();
  EXPECT_EQ (result.status, STATUS_OK) << result.message;
  EXPECT_EQ (result.version, 6u);
  EXPECT_EQ (fake.writes, 1);
}

TEST_F (ServiceCommand, LostWriteIsRepeated)
{
  fake.write_outcomes = { WriteOutcome::lost_without_effect };
  start (OPERATOR_DRAIN, "h1");
  pump ();
  EXPECT_EQ (result.status, STATUS_OK) << result.message;
  EXPECT_EQ (difference (), "target h1: state active to drained");
}

/* A slow platform delays the write.  The read-back finds the old version
   although the write takes effect later.  If the read decided, the operator
   would be told "not done" of a change that comes into force. */
TEST_F (ServiceCommand, DelayedWriteIsAccepted)
{
  fake.write_outcomes = { WriteOutcome::lost_then_effect_later };
  start (OPERATOR_DRAIN, "h1");
  step ();
  step ();
  fake.on_before_write = [this] { fake.queued_write (); };
  pump ();
  EXPECT_EQ (result.status, STATUS_OK) << result.message;
  EXPECT_EQ (result.version, 6u);
  EXPECT_EQ (fake.version, 6u) << "took effect once";
}

/* The response is lost and another operator writes before the read-back.  The
   service no longer carries the write's id, whether or not the write took
   effect. */
TEST_F (ServiceCommand, OverwrittenAfterLostAnswerIsUnknown)
{
  fake.write_outcomes = { WriteOutcome::lost_after_effect };
  start (OPERATOR_DRAIN, "h1");
  step ();
  step ();
  fake.version++;
  fake.value = holds;
  pump ();
  EXPECT_EQ (result.status, STATUS_LOST_ANSWER);
  EXPECT_EQ (result.version, 7u);
  EXPECT_EQ (fake.writes, 1);
}

TEST_F (ServiceCommand, UnresolvedLostAnswerIsUnknown)
{
  fake.write_outcomes = { WriteOutcome::lost_after_effect };
  start (OPERATOR_DRAIN, "h1", OPERATOR_ANY_VERSION, 10);
  step ();
  fake.failing_reads = 1000000;
  pump ();
  EXPECT_EQ (result.status, STATUS_LOST_ANSWER);
  EXPECT_NE (result.message.find ("may be in force"), std::string::npos);
}

TEST_F (ServiceCommand, CancelDoesNotCallBack)
{
  struct service_command *sc = start (OPERATOR_DRAIN, "h1");
  service_command_cancel (sc);
  EXPECT_TRUE (fake.answers.empty ());
  EXPECT_EQ (result.calls, 0);
}

} // namespace
