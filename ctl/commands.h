/** @file
 * Carries out a parsed statement and reports how it ended.
 */
#ifndef CTL_COMMANDS_H
#define CTL_COMMANDS_H

#include <stdbool.h>
#include <stdio.h>

#include "ctl/client.h"
#include "ctl/exit_code.h"
#include "ctl/statement.h"

/** Where and how results are shown. */
struct commands
{
  struct client *client;
  bool json;
  FILE *out;
  FILE *errors;
};

enum exit_code commands_run (const struct commands *commands,
                             const struct statement *statement);

/** Say on one line what went wrong, with the last status message.
 * @return the exit code that goes with STATUS. */
enum exit_code commands_fail (const struct commands *commands,
                              enum status status);

/** Read TABLE of the host; other than EXIT_CODE_DONE is said already. */
enum exit_code commands_read_table (const struct commands *commands,
                                    const char *table,
                                    struct client_reply *reply);

/** Write the line on whose belief REPLY is, and how old. */
void commands_print_source (const struct commands *commands,
                            struct json_object *reply);

/** Write OBJECT as JSON. */
void commands_print_json (const struct commands *commands,
                          struct json_object *object);

#endif
