#include "node/caller/route_table.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <uthash.h>

#include "base/hash.h"
#include "base/rng.h"
#include "base/xmalloc.h"
#include "node/json_row.h"

enum
{
  KEY_SIZE = SERVICE_NAME_SIZE + SERVICE_PATH_SIZE,
  METHOD_COUNT = 7,
  METHODS_TEXT_SIZE = 64
};

/* In the order of their bits. */
static const char *const method_names[METHOD_COUNT]
    = { "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS" };

/* The routes of one host and prefix, in order of precedence. */
struct bucket
{
  char key[KEY_SIZE]; /* host, a NUL, prefix without a last "/" */
  size_t key_size;
  struct route *routes;
  UT_hash_handle hh;
};

struct route_table
{
  struct bucket *buckets;
};

struct route_table *
route_table_create (void)
{
  return xcalloc (1, sizeof (struct route_table));
}

static void
route_destroy (struct route *route)
{
  free (route->parts);
  free (route->current_weights);
  free (route);
}

static void
bucket_destroy (struct route_table *table, struct bucket *bucket)
{
  while (bucket->routes != NULL)
    {
      struct route *route = bucket->routes;
      bucket->routes = route->next;
      route_destroy (route);
    }
  HASH_DEL (table->buckets, bucket);
  free (bucket);
}

void
route_table_destroy (struct route_table *table)
{
  if (table == NULL)
    return;
  struct bucket *bucket;
  struct bucket *next;
  HASH_ITER (hh, table->buckets, bucket, next) bucket_destroy (table, bucket);
  free (table);
}

static size_t
make_key (char key[KEY_SIZE], const char *host, const char *prefix,
          size_t prefix_size)
{
  const size_t host_size = strnlen (host, SERVICE_NAME_SIZE - 1);
  if (prefix_size >= SERVICE_PATH_SIZE)
    return 0;
  for (size_t i = 0; i < host_size; i++)
    key[i] = (char)tolower ((unsigned char)host[i]);
  key[host_size] = '\0';
  memcpy (key + host_size + 1, prefix, prefix_size);
  return host_size + 1 + prefix_size;
}

/* Less than 0 if A takes precedence over B. */
static int
compare_precedence (const struct route *a, const struct route *b)
{
  const bool a_any = a->spec.methods == 0;
  const bool b_any = b->spec.methods == 0;
  if (a_any != b_any)
    return a_any ? 1 : -1;
  if (a->spec.repeatable != b->spec.repeatable)
    return a->spec.repeatable ? 1 : -1;
  return strcmp (a->service, b->service);
}

static void
bucket_insert (struct bucket *bucket, struct route *route)
{
  struct route **link = &bucket->routes;
  while (*link != NULL && compare_precedence (*link, route) <= 0)
    link = &(*link)->next;
  route->next = *link;
  *link = route;
}

static struct route *
add_route (struct route_table *table, const char *service,
           const struct route_spec *spec)
{
  size_t prefix_size = strlen (spec->path_prefix);
  while (prefix_size > 0 && spec->path_prefix[prefix_size - 1] == '/')
    prefix_size--;
  char key[KEY_SIZE];
  const size_t key_size
      = make_key (key, spec->host, spec->path_prefix, prefix_size);
  struct bucket *bucket;
  HASH_FIND (hh, table->buckets, key, key_size, bucket);
  if (bucket == NULL)
    {
      bucket = xcalloc (1, sizeof *bucket);
      memcpy (bucket->key, key, key_size);
      bucket->key_size = key_size;
      HASH_ADD (hh, table->buckets, key, bucket->key_size, bucket);
    }
  struct route *route = xcalloc (1, sizeof *route);
  snprintf (route->service, sizeof route->service, "%s", service);
  route->spec = *spec;
  bucket_insert (bucket, route);
  return route;
}

void
route_table_set_service (struct route_table *table,
                         const struct service_spec *spec)
{
  route_table_remove_service (table, spec->name);
  for (size_t i = 0; i < spec->route_count; i++)
    add_route (table, spec->name, &spec->routes[i]);
}

static void
bucket_remove (struct bucket *bucket, const char *service)
{
  struct route **link = &bucket->routes;
  while (*link != NULL)
    {
      struct route *route = *link;
      if (strcmp (route->service, service) != 0)
        {
          link = &route->next;
          continue;
        }
      *link = route->next;
      route_destroy (route);
    }
}

void
route_table_remove_service (struct route_table *table, const char *service)
{
  struct bucket *bucket;
  struct bucket *next;
  HASH_ITER (hh, table->buckets, bucket, next)
  {
    bucket_remove (bucket, service);
    if (bucket->routes == NULL)
      bucket_destroy (table, bucket);
  }
}

/* Starts each host at another point of the sequence of parts.  Otherwise all
   hosts would be in step: their first requests would go to the same part, and
   none of them to a part with a share of ten in a hundred, for example. */
static void
randomize_current_weights (struct route *route, uint64_t seed)
{
  struct rng rng;
  rng_seed (&rng, hash_pair (seed, hash_string (route->spec.path_prefix)));
  uint64_t weights = 0;
  for (size_t i = 0; i < route->part_count; i++)
    weights += route->parts[i].weight;
  for (uint64_t i = rng_below (&rng, weights); i > 0; i--)
    route_select_service (route);
}

static void
add_config_route (struct route_table *table, const struct fleet_route *from,
                  uint64_t seed)
{
  struct route *route = add_route (table, "", &from->spec);
  route->timeout_ms = from->timeout_ms;
  route->attempts = from->attempts;
  route->latency_goal_ms = from->latency_goal_ms;
  route->priority = from->priority;
  route->is_open = from->is_open;
  route->part_count = from->part_count;
  route->parts = xcalloc (from->part_count, sizeof *route->parts);
  memcpy (route->parts, from->parts, from->part_count * sizeof *route->parts);
  route->current_weights
      = xcalloc (from->part_count, sizeof *route->current_weights);
  randomize_current_weights (route, seed);
}

void
route_table_set_config (struct route_table *table,
                        const struct fleet_config *config, uint64_t seed)
{
  route_table_remove_service (table, "");
  for (size_t i = 0; i < config->route_count; i++)
    add_config_route (table, &config->routes[i], seed);
}

/* Smooth weighted round-robin: each request adds the weight of each part to
   its current weight.  The part with the largest current weight is selected
   and has the sum of all weights subtracted. */
const char *
route_select_service (const struct route *route)
{
  if (route->parts == NULL)
    return route->service;
  size_t best = 0;
  int64_t weights = 0;
  for (size_t i = 0; i < route->part_count; i++)
    {
      weights += route->parts[i].weight;
      route->current_weights[i] += route->parts[i].weight;
      if (route->current_weights[i] > route->current_weights[best])
        best = i;
    }
  route->current_weights[best] -= weights;
  return route->parts[best].service;
}

bool
route_has_service (const struct route *route, const char *service)
{
  if (route->parts == NULL)
    return strcmp (route->service, service) == 0;
  for (size_t i = 0; i < route->part_count; i++)
    if (strcmp (route->parts[i].service, service) == 0)
      return true;
  return false;
}

/* A part without weight gets no requests. */
static bool
is_in_use_for (const struct route *route, const char *service)
{
  for (size_t i = 0; i < route->part_count; i++)
    if (route->parts[i].weight > 0
        && strcmp (route->parts[i].service, service) == 0)
      return true;
  return false;
}

bool
route_table_routes_differ (const struct route_table *table,
                           const char *service)
{
  const struct route *first = NULL;
  for (const struct bucket *bucket = table->buckets; bucket != NULL;
       bucket = bucket->hh.next)
    for (const struct route *route = bucket->routes; route != NULL;
         route = route->next)
      {
        if (!is_in_use_for (route, service))
          continue;
        if (first == NULL)
          first = route;
        if (route->priority != first->priority
            || route->latency_goal_ms != first->latency_goal_ms
            || route->timeout_ms != first->timeout_ms
            || route->spec.repeatable != first->spec.repeatable)
          return true;
      }
  return false;
}

const char *
route_table_find_service_by_host (const struct route_table *table,
                                  const char *host)
{
  for (const struct bucket *bucket = table->buckets; bucket != NULL;
       bucket = bucket->hh.next)
    if (strcmp (bucket->routes->spec.host, host) == 0)
      return bucket->routes->parts != NULL ? bucket->routes->parts[0].service
                                           : bucket->routes->service;
  return NULL;
}

uint32_t
route_method_bit (const char *method)
{
  for (size_t i = 0; i < METHOD_COUNT; i++)
    if (strcmp (method, method_names[i]) == 0)
      return 1U << i;
  return 0;
}

/* A configured prefix is compared including a trailing "/": "/holds/" doesn't
   match "/holds". */
static bool
route_matches (const struct route *route, const char *path, uint32_t method)
{
  if (route->spec.methods != 0 && (route->spec.methods & method) == 0)
    return false;
  const char *prefix = route->spec.path_prefix;
  return route->parts == NULL || strncmp (path, prefix, strlen (prefix)) == 0;
}

static const struct route *
bucket_match (const struct route_table *table, const char *host,
              const char *path, size_t prefix_size, uint32_t method)
{
  char key[KEY_SIZE];
  const size_t key_size = make_key (key, host, path, prefix_size);
  if (key_size == 0)
    return NULL;
  const struct bucket *bucket;
  HASH_FIND (hh, table->buckets, key, key_size, bucket);
  if (bucket == NULL)
    return NULL;
  for (const struct route *route = bucket->routes; route != NULL;
       route = route->next)
    if (route_matches (route, path, method))
      return route;
  return NULL;
}

/* The size of the prefix of PATH that is one segment shorter than its first
   SIZE bytes. */
static size_t
parent_prefix_size (const char *path, size_t size)
{
  while (size > 0 && path[size - 1] != '/')
    size--;
  return size > 0 ? size - 1 : 0;
}

const struct route *
route_table_match (const struct route_table *table, const char *host,
                   const char *path, uint32_t method)
{
  size_t size = strlen (path);
  if (size > 0 && path[size - 1] == '/')
    size--;
  for (;;)
    {
      const struct route *route = NULL;
      if (host[0] != '\0')
        route = bucket_match (table, host, path, size, method);
      if (route == NULL)
        route = bucket_match (table, "", path, size, method);
      if (route != NULL || size == 0)
        return route;
      size = parent_prefix_size (path, size);
    }
}

static void
add_methods (struct json_object *row, uint32_t methods)
{
  char text[METHODS_TEXT_SIZE] = "any";
  size_t used = 0;
  for (size_t i = 0; i < METHOD_COUNT; i++)
    if ((methods & (1U << i)) != 0)
      used += (size_t)snprintf (text + used, sizeof text - used, "%s%s",
                                used > 0 ? "," : "", method_names[i]);
  json_row_text (row, "methods", text);
}

static struct json_object *
route_row (const struct route *route)
{
  struct json_object *row = json_object_new_object ();
  json_row_text (row, "service",
                 route->parts != NULL ? route->parts[0].service
                                      : route->service);
  json_row_text (row, "host", route->spec.host);
  json_row_text (row, "path_prefix", route->spec.path_prefix);
  add_methods (row, route->spec.methods);
  json_row_flag (row, "repeatable", route->spec.repeatable);
  return row;
}

struct json_object *
route_table_rows (const struct route_table *table)
{
  struct json_object *rows = json_object_new_array ();
  for (const struct bucket *bucket = table->buckets; bucket != NULL;
       bucket = bucket->hh.next)
    for (const struct route *route = bucket->routes; route != NULL;
         route = route->next)
      json_object_array_add (rows, route_row (route));
  return rows;
}
