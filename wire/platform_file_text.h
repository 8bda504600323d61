/** @file
 * Reading and writing of the file of platform_file.h: `{ "services": [ ... ]
 * }`.
 */
#ifndef WIRE_PLATFORM_FILE_TEXT_H
#define WIRE_PLATFORM_FILE_TEXT_H

#include "base/status.h"
#include "wire/platform_memory.h"

/** Load the services of PATH into MEMORY.  On failure the message names the
 * position and the remedy, and MEMORY may hold some of the services. */
enum status platform_file_text_load (const char *path,
                                     struct platform_memory *memory);

/** Check that VALUE could be loaded again as the service NAME. */
enum status platform_file_text_check (const char *path, const char *name,
                                      const char *value);

/** Save the services of MEMORY, with the value of NAME replaced by VALUE (NULL
 * removes it), to PATH.  The file is replaced atomically, so that readers see
 * either the old or the new one.
 * @return STATUS_REFUSED, with nothing changed, if the file can't be
 * written. */
enum status platform_file_text_save (const char *path,
                                     const struct platform_memory *memory,
                                     const char *name, const char *value);

#endif
