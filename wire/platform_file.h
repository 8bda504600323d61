/** @file
 * Platform implementation backed by a file, for a single host.
 *
 * The file holds JSON with comments: `{ "services": [ SERVICE, ... ] }`, each
 * SERVICE as in service_spec.h.  Versions start at 1 in the order of the file.
 * A write to a service replaces the file atomically (a new file is renamed
 * over the old one; comments are lost), and is refused if that fails.  Objects
 * of other kinds are kept only in memory.
 */
#ifndef WIRE_PLATFORM_FILE_H
#define WIRE_PLATFORM_FILE_H

#include <stdbool.h>

#include <ev.h>

#include "wire/platform.h"

struct platform_file_options
{
  struct ev_loop *loop;
  const char *path; /**< copied */
  bool read_only;   /**< refuse all writes of services */
};

/** Read and validate the file.  On failure the message names the position and
 * the remedy. */
enum status platform_file_create (const struct platform_file_options *options,
                                  struct platform **platform);

#endif
