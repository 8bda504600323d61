#include "node/caller/request_key.h"

#include <string.h>
#include <strings.h>

static const char scheme[] = "Bearer";

enum
{
  SCHEME_SIZE = sizeof scheme - 1,
};

/* The characters that a key may consist of (RFC 6750, section 2.1). */
static const char key_characters[]
    = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~+/=";

static struct request_key
read_credentials (const char *credentials)
{
  struct request_key key = { .state = REQUEST_KEY_MALFORMED };
  if (strncasecmp (credentials, scheme, SCHEME_SIZE) != 0
      || credentials[SCHEME_SIZE] != ' ')
    return key;
  const char *text = credentials + SCHEME_SIZE;
  text += strspn (text, " ");
  const size_t size = strspn (text, key_characters);
  const char *rest = text + size;
  rest += strspn (rest, " \t");
  if (size == 0 || *rest != '\0')
    return key;
  key.state = REQUEST_KEY_GIVEN;
  key.digest = digest_of (text, size);
  return key;
}

struct request_key
request_key_read (const struct header_list *headers)
{
  struct request_key key = { .state = REQUEST_KEY_NONE };
  for (size_t i = 0; i < headers->count; i++)
    {
      if (!header_name_matches (header_list_name (headers, i),
                                "Authorization"))
        continue;
      /* If there are two, the target might use the other one. */
      if (key.state != REQUEST_KEY_NONE)
        return (struct request_key){ .state = REQUEST_KEY_MALFORMED };
      key = read_credentials (header_list_value (headers, i));
    }
  return key;
}
