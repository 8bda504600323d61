#include "node/caller/exchange_access.h"

#include <stdio.h>
#include <string.h>

static const char *
key_remedy (enum request_key_state state)
{
  switch (state)
    {
    case REQUEST_KEY_NONE:
      return "this route needs a key: send \"Authorization: Bearer KEY\"";
    case REQUEST_KEY_MALFORMED:
      return "Authorization can't be read: send it once, as \"Bearer KEY\"";
    case REQUEST_KEY_GIVEN:
      break;
    }
  return "the key isn't known: ask the workspace's owner for one in force";
}

static const char *
key_reason (enum request_key_state state)
{
  static const char *const reasons[]
      = { [REQUEST_KEY_NONE] = "no-key",
          [REQUEST_KEY_MALFORMED] = "malformed-key",
          [REQUEST_KEY_GIVEN] = "unknown-key" };
  return reasons[state];
}

static void
refuse_key (struct exchange *x)
{
  const enum request_key_state state = x->head.key.state;
  struct own_answer own = { .status = MHD_HTTP_UNAUTHORIZED,
                            .outcome = ANSWER_NOT_RUN,
                            .reason = key_reason (state),
                            .asks_for_key = true };
  snprintf (own.message, sizeof own.message, "%s", key_remedy (state));
  exchange_answer_own (x, &own);
}

bool
exchange_access_check (struct exchange *x, const struct route *route)
{
  const struct workspace_table *workspaces = x->context->workspaces;
  if (workspaces == NULL)
    return true;
  /* Nobody behind this host gets a key, needed or not. */
  header_list_remove_spellings (&x->head.headers, "Authorization");
  if (route->is_open)
    return true;
  const struct request_key *key = &x->head.key;
  const struct fleet_workspace *workspace
      = key->state == REQUEST_KEY_GIVEN
            ? workspace_table_find (workspaces, &key->digest)
            : NULL;
  if (workspace == NULL)
    {
      refuse_key (x);
      return false;
    }
  memcpy (x->workspace, workspace->name, sizeof x->workspace);
  return true;
}
