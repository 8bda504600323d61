/** @file
 * The query and command language of `jaystair`.
 *
 *     show TABLE [where FIELD OP VALUE [[and] FIELD OP VALUE]...]
 *     explain target TARGET
 *     explain request ID [FILE]...
 *     addresses SERVICE
 *     drain|undrain|eject|reinstate TARGET [at version N]
 *     pause|resume ejection SERVICE [at version N]
 *     set floor SERVICE CAPACITY [at version N]
 *     clear poison FINGERPRINT
 *
 * TABLE is services, targets, hosts, routes, settings, decisions, counters,
 * ejections or poison; OP is one of = != < > ~ (contains), with or without
 * blanks around it.  TARGET is a target's name, or SERVICE/NAME where several
 * services have one of that name.  Words of the language may be written in
 * any case; names are taken as they are.
 */
#ifndef CTL_STATEMENT_H
#define CTL_STATEMENT_H

#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "ctl/filter.h"

#define STATEMENT_NAME_SIZE 64
#define STATEMENT_FILTERS_MAX 16
#define STATEMENT_WORDS_MAX 128

enum statement_kind
{
  STATEMENT_SHOW,
  STATEMENT_EXPLAIN_TARGET,
  STATEMENT_EXPLAIN_REQUEST,
  STATEMENT_ADDRESSES,
  STATEMENT_COMMAND,
};

struct statement
{
  enum statement_kind kind;
  const char *table;   /**< show: the table's name in lower case */
  const char *command; /**< command: its name in the operator protocol */
  struct filter filters[STATEMENT_FILTERS_MAX];
  size_t filter_count;
  char service[STATEMENT_NAME_SIZE];     /**< "" if determined by the target */
  char target[STATEMENT_NAME_SIZE];      /**< "" if none */
  char fingerprint[STATEMENT_NAME_SIZE]; /**< clear poison; otherwise "" */
  const char *request;                   /**< explain request: its identity */
  const char *const *files; /**< explain request: logs; none: stdin */
  size_t file_count;
  int64_t floor;    /**< set floor; -1: none */
  uint64_t version; /**< 0: the current version */
};

/** Parse the COUNT words of a command line.  On failure the message names the
 * word that was found and what was expected instead. */
enum status statement_parse (const char *const *words, size_t count,
                             struct statement *statement);

#endif
