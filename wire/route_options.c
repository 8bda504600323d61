#include "wire/route_options.h"

#include <ctype.h>
#include <string.h>

#include <json-c/json.h>

#include "wire/service_spec_names.h"

void
route_options_name (struct options *options, const char *key, bool required,
                    char value[SERVICE_NAME_SIZE])
{
  options_string (options, key, required, value, SERVICE_NAME_SIZE);
  for (const char *c = value; *c != '\0'; c++)
    if (!isalnum ((unsigned char)*c) && strchr ("._-", *c) == NULL)
      {
        options_fail (options, key,
                      "expected letters, digits, '.', '_' and '-', found "
                      "\"%s\"; use another name",
                      value);
        return;
      }
}

static uint32_t
method_bit (const char *name)
{
  for (size_t i = 0; i < ROUTE_METHOD_COUNT; i++)
    if (strcmp (route_method_names[i], name) == 0)
      return 1U << i;
  return 0;
}

static void
read_methods (struct options *options, struct route_spec *route)
{
  struct json_object *array
      = options_array (options, "methods", ROUTE_METHOD_COUNT);
  const size_t count = array == NULL ? 0 : json_object_array_length (array);
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *node = json_object_array_get_idx (array, i);
      const char *name = json_object_is_type (node, json_type_string)
                             ? json_object_get_string (node)
                             : "";
      const uint32_t bit = method_bit (name);
      if (bit == 0 || (route->methods & bit) != 0)
        options_fail (options, "methods",
                      "expected GET, HEAD, POST, PUT, DELETE, PATCH or "
                      "OPTIONS, each once, found \"%.40s\"; leave \"methods\" "
                      "out for any method",
                      name);
      route->methods |= bit;
    }
}

/* Host names are case-insensitive, so they are stored in lower case. */
static void
read_host (struct options *options, struct route_spec *route)
{
  options_string (options, "host", false, route->host, sizeof route->host);
  for (char *c = route->host; *c != '\0'; c++)
    {
      *c = (char)tolower ((unsigned char)*c);
      if (*c == ':' || *c == '/' || isspace ((unsigned char)*c))
        {
          options_fail (options, "host",
                        "expected a host name without port, found \"%s\"; "
                        "remove everything else",
                        route->host);
          return;
        }
    }
}

static void
read_path_prefix (struct options *options, struct route_spec *route)
{
  strcpy (route->path_prefix, "/");
  options_string (options, "path_prefix", false, route->path_prefix,
                  sizeof route->path_prefix);
  if (route->path_prefix[0] != '/'
      || strpbrk (route->path_prefix, "?# \t\r\n") != NULL)
    options_fail (options, "path_prefix",
                  "expected a path that begins with '/' and has no query, "
                  "found \"%s\"; correct it or leave it out for \"/\"",
                  route->path_prefix);
}

void
route_options_read (struct options *options, struct route_spec *route)
{
  const uint32_t safe
      = ROUTE_METHOD_GET | ROUTE_METHOD_HEAD | ROUTE_METHOD_OPTIONS;
  *route = (struct route_spec){ .methods = 0 };
  read_host (options, route);
  read_path_prefix (options, route);
  read_methods (options, route);
  route->repeatable = route->methods != 0 && (route->methods & ~safe) == 0;
  options_bool (options, "repeatable", &route->repeatable);
}
