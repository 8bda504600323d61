#include "node/operator/operator_request.h"

#include <inttypes.h>
#include <string.h>

#include "base/options.h"

static const char *const verb_names[OPERATOR_VERB_COUNT] = {
  [OPERATOR_DRAIN] = "drain",
  [OPERATOR_UNDRAIN] = "undrain",
  [OPERATOR_PAUSE_EJECTION] = "pause-ejection",
  [OPERATOR_RESUME_EJECTION] = "resume-ejection",
  [OPERATOR_SET_FLOOR] = "set-floor",
  [OPERATOR_EJECT] = "eject",
  [OPERATOR_REINSTATE] = "reinstate",
  [OPERATOR_CLEAR_POISON] = "clear-poison",
};

const char *
operator_verb_name (enum operator_verb verb)
{
  return verb_names[verb];
}

bool
operator_verb_takes_target (enum operator_verb verb)
{
  return verb == OPERATOR_DRAIN || verb == OPERATOR_UNDRAIN
         || operator_verb_is_ejection (verb);
}

bool
operator_verb_is_ejection (enum operator_verb verb)
{
  return verb == OPERATOR_EJECT || verb == OPERATOR_REINSTATE;
}

static void
read_verb (struct options *options, struct operator_command *command)
{
  int verb = -1;
  options_enum (options, "command", verb_names, OPERATOR_VERB_COUNT, &verb);
  if (verb < 0)
    options_fail (options, "command",
                  "expected the command's name, found none; add \"command\"");
  command->verb = verb < 0 ? OPERATOR_DRAIN : (enum operator_verb)verb;
}

static void
read_fingerprint (struct options *options, struct operator_command *command)
{
  char text[FINGERPRINT_TEXT_SIZE] = "";
  options_string (options, "fingerprint", true, text, sizeof text);
  if (options->status == STATUS_OK
      && !fingerprint_parse (text, &command->fingerprint))
    options_fail (options, "fingerprint",
                  "expected 32 hexadecimal digits, found \"%s\"; copy it from "
                  "\"show poison\"",
                  text);
}

static void
read_operands (struct options *options, struct operator_command *command)
{
  if (command->verb == OPERATOR_CLEAR_POISON)
    {
      read_fingerprint (options, command);
      return;
    }
  const bool takes_target = operator_verb_takes_target (command->verb);
  int64_t version = OPERATOR_ANY_VERSION;
  int64_t floor = -1;
  options_string (options, "service", !takes_target, command->service,
                  sizeof command->service);
  if (takes_target)
    options_string (options, "target", true, command->target,
                    sizeof command->target);
  if (command->verb == OPERATOR_SET_FLOOR)
    {
      options_int (options, "floor", 0, UINT32_MAX, &floor);
      if (floor < 0)
        options_fail (options, "floor",
                      "expected the capacity to keep, found none; add "
                      "\"floor\"");
    }
  options_int (options, "version", 0, INT64_MAX, &version);
  command->version = (uint64_t)version;
  command->floor_capacity = floor < 0 ? 0 : (uint32_t)floor;
}

enum status
operator_request_parse (const char *text, size_t size,
                        struct operator_command *command)
{
  struct json_object *root = NULL;
  struct options options;
  memset (command, 0, sizeof *command);
  enum status status = options_parse ("command", text, size, &root);
  if (status != STATUS_OK)
    return status;
  options_begin (&options, "command", "", root);
  read_verb (&options, command);
  read_operands (&options, command);
  status = options_end (&options);
  json_object_put (root);
  return status;
}

static const char *
text_member (struct json_object *row, const char *key)
{
  struct json_object *value;
  if (!json_object_object_get_ex (row, key, &value))
    return "";
  return json_object_get_string (value);
}

enum status
operator_request_resolve_service (struct json_object *rows,
                                  struct operator_command *command)
{
  if (command->service[0] != '\0')
    return STATUS_OK;
  const size_t count = rows == NULL ? 0 : json_object_array_length (rows);
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *row = json_object_array_get_idx (rows, i);
      const char *service = text_member (row, "service");
      if (strcmp (text_member (row, "target"), command->target) != 0
          || strcmp (service, command->service) == 0)
        continue;
      if (command->service[0] != '\0')
        return status_set (STATUS_INVALID,
                           "services \"%s\" and \"%s\" both have a target "
                           "\"%s\": name the service",
                           command->service, service, command->target);
      strncpy (command->service, service, sizeof command->service - 1);
    }
  if (command->service[0] == '\0')
    return status_set (STATUS_NOT_FOUND,
                       "no service has a target \"%s\": list them with "
                       "\"show targets\"",
                       command->target);
  return STATUS_OK;
}
