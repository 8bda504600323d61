#include "tests/standins/target_body.h"

#include <stdio.h>

enum
{
  BLOCK_BYTES = 4096
};

static ssize_t
read_pattern (void *owner, uint64_t position, char *data, size_t size)
{
  for (size_t i = 0; i < size; i++)
    data[i] = (char)('a' + (position + i) % 26);
  return (ssize_t)size;
}

struct MHD_Response *
target_body_pattern (uint64_t size)
{
  return MHD_create_response_from_callback (size, BLOCK_BYTES, read_pattern,
                                            NULL, NULL);
}

static enum MHD_Result
add_field_line (void *owner, enum MHD_ValueKind kind, const char *name,
                const char *value)
{
  fprintf (owner, "%s: %s\n", name, value);
  return MHD_YES;
}

struct MHD_Response *
target_body_fields (struct MHD_Connection *connection)
{
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);
  MHD_get_connection_values (connection, MHD_HEADER_KIND, add_field_line, out);
  fclose (out);
  return MHD_create_response_from_buffer (size, text, MHD_RESPMEM_MUST_FREE);
}
