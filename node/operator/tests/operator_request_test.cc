#include <gtest/gtest.h>

#include <random>
#include <string>

extern "C"
{
#include "node/operator/operator_request.h"
}

static enum status
parse (const std::string &text, struct operator_command *command)
{
  return operator_request_parse (text.data (), text.size (), command);
}

TEST (OperatorRequest, ParsesEachVerb)
{
  for (int i = 0; i < OPERATOR_VERB_COUNT; i++)
    {
      const auto verb = static_cast<enum operator_verb> (i);
      if (verb == OPERATOR_CLEAR_POISON)
        continue; /* see ClearPoisonRequiresValidFingerprint */
      std::string text = std::string ("{\"command\":\"")
                         + operator_verb_name (verb)
                         + "\",\"service\":\"holds\",\"version\":7";
      if (operator_verb_takes_target (verb))
        text += ",\"target\":\"holds-1\"";
      if (verb == OPERATOR_SET_FLOOR)
        text += ",\"floor\":24";
      struct operator_command command;
      ASSERT_EQ (parse (text + "}", &command), STATUS_OK) << status_message ();
      EXPECT_EQ (command.verb, verb);
      EXPECT_STREQ (command.service, "holds");
      EXPECT_EQ (command.version, 7u);
      EXPECT_EQ (command.floor_capacity,
                 verb == OPERATOR_SET_FLOOR ? 24u : 0u);
    }
}

TEST (OperatorRequest, ClearPoisonRequiresValidFingerprint)
{
  struct operator_command command;
  const std::string prefix = "{\"command\":\"clear-poison\"";
  ASSERT_EQ (parse (prefix
                        + ",\"fingerprint\":"
                          "\"00000000000000020000000000000001\"}",
                    &command),
             STATUS_OK)
      << status_message ();
  EXPECT_EQ (command.fingerprint.high, 2u);
  EXPECT_EQ (command.fingerprint.low, 1u);
  for (const char *suffix :
       { "}", ",\"fingerprint\":\"12\"}", ",\"fingerprint\":7}",
         ",\"fingerprint\":\"0000000000000002000000000000000g\"}",
         ",\"service\":\"holds\"}" })
    EXPECT_EQ (parse (prefix + suffix, &command), STATUS_INVALID) << suffix;
}

TEST (OperatorRequest, RefusesInvalidCommandsWithRemedy)
{
  const char *const bad[] = {
    "",
    "{",
    "[]",
    "{}",
    "{\"command\":\"reboot\",\"service\":\"s\"}",
    "{\"command\":\"drain\",\"service\":\"s\"}",
    "{\"command\":\"set-floor\",\"service\":\"s\"}",
    "{\"command\":\"set-floor\",\"service\":\"s\",\"floor\":-1}",
    "{\"command\":\"set-floor\",\"floor\":3}",
    "{\"command\":\"drain\",\"target\":\"t\",\"versoin\":3}",
    "{\"command\":\"drain\",\"target\":7}",
    "{\"command\":\"pause-ejection\",\"service\":\"s\",\"target\":\"t\"}",
  };
  for (const char *text : bad)
    {
      struct operator_command command;
      status_set (STATUS_OK, "%s", "");
      EXPECT_EQ (parse (text, &command), STATUS_INVALID) << text;
      EXPECT_STRNE (status_message (), "") << text;
    }
}

TEST (OperatorRequest, SurvivesGarbage)
{
  std::mt19937 random (20260101);
  const std::string valid
      = "{\"command\":\"drain\",\"service\":\"holds\",\"target\":\"h\"}";
  for (int i = 0; i < 3000; i++)
    {
      std::string text = valid;
      for (int change = 0; change < 3; change++)
        text[random () % text.size ()] = static_cast<char> (random ());
      text.resize (random () % (text.size () + 1));
      struct operator_command command;
      const enum status status = parse (text, &command);
      EXPECT_TRUE (status == STATUS_INVALID || text.size () == valid.size ())
          << text;
    }
}

TEST (OperatorRequest, ResolvesServiceByTarget)
{
  struct json_object *rows
      = json_tokener_parse ("[{\"service\":\"a\",\"target\":\"one\"},"
                            " {\"service\":\"a\",\"target\":\"both\"},"
                            " {\"service\":\"b\",\"target\":\"both\"}]");
  struct operator_command command;
  ASSERT_EQ (parse ("{\"command\":\"drain\",\"target\":\"one\"}", &command),
             STATUS_OK);
  EXPECT_EQ (operator_request_resolve_service (rows, &command), STATUS_OK);
  EXPECT_STREQ (command.service, "a");
  parse ("{\"command\":\"drain\",\"target\":\"both\"}", &command);
  EXPECT_EQ (operator_request_resolve_service (rows, &command),
             STATUS_INVALID);
  parse ("{\"command\":\"drain\",\"target\":\"none\"}", &command);
  EXPECT_EQ (operator_request_resolve_service (rows, &command),
             STATUS_NOT_FOUND);
  parse ("{\"command\":\"drain\",\"target\":\"none\"}", &command);
  EXPECT_EQ (operator_request_resolve_service (nullptr, &command),
             STATUS_NOT_FOUND);
  json_object_put (rows);
}
