/** @file
 * The text of platform_file.h's file: `{ "services": [ ... ] }`.
 */
#ifndef WIRE_PLATFORM_FILE_TEXT_H
#define WIRE_PLATFORM_FILE_TEXT_H

#include "base/status.h"
#include "wire/platform_memory.h"

/** Read PATH and put its services into MEMORY.  On failure the message names
 * the place and the remedy; MEMORY may then hold a part. */
enum status platform_file_text_load (const char *path,
                                     struct platform_memory *memory);

/** Would VALUE load again as the service NAME? */
enum status platform_file_text_check (const char *path, const char *name,
                                      const char *value);

/** Put the services of MEMORY, with VALUE in place of NAME's (NULL leaves it
 * out), into PATH as a whole: readers see the old file or the new one.
 * @return STATUS_REFUSED, with nothing changed, when the file can't be
 * written. */
enum status platform_file_text_save (const char *path,
                                     const struct platform_memory *memory,
                                     const char *name, const char *value);

#endif
