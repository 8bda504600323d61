/** @file
 * A platform read from one file, for a single host without any platform.
 *
 * The file holds JSON with comments: `{ "services": [ SERVICE, ... ] }`, each
 * SERVICE as in service_spec.h.  Versions count from 1 in the order of the
 * file.  A write to a service is put into the file as a whole (a new file
 * renamed over the old one, comments are lost); where that can't be done the
 * write is refused.
 * Objects of other kinds live as long as the process.
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
  bool read_only;   /**< refuse every write of a service */
};

/** Read and check the file.  On failure the message names the place and the
 * remedy. */
enum status platform_file_create (const struct platform_file_options *options,
                                  struct platform **platform);

#endif
