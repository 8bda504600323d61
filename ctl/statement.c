#include "ctl/statement.h"

#include <errno.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/** The remaining words. */
struct cursor
{
  const char *const *words;
  size_t remaining;
};

static const char *const table_names[]
    = { "services",  "targets",  "hosts",     "routes", "settings",
        "decisions", "counters", "ejections", "poison" };

static const char *
peek (const struct cursor *cursor)
{
  return cursor->remaining == 0 ? NULL : cursor->words[0];
}

static const char *
take (struct cursor *cursor)
{
  const char *word = peek (cursor);
  if (word == NULL)
    return NULL;
  cursor->words++;
  cursor->remaining--;
  return word;
}

static bool
take_keyword (struct cursor *cursor, const char *keyword)
{
  const char *word = peek (cursor);
  if (word == NULL || strcasecmp (word, keyword) != 0)
    return false;
  take (cursor);
  return true;
}

static enum status
fail_expected (const char *what, const char *found)
{
  if (found == NULL)
    return status_set (STATUS_INVALID, "expected %s at the end of the line",
                       what);
  return status_set (STATUS_INVALID, "expected %s, found \"%.64s\"", what,
                     found);
}

static enum status
take_keyword_or_fail (struct cursor *cursor, const char *keyword)
{
  if (take_keyword (cursor, keyword))
    return STATUS_OK;
  return fail_expected (keyword, peek (cursor));
}

static enum status
copy_name (char *buffer, size_t size, const char *text, size_t length,
           const char *what)
{
  if (length == 0)
    return fail_expected (what, "");
  if (length >= size)
    return status_set (STATUS_INVALID,
                       "%s \"%.32s...\" is too long: at most %zu bytes", what,
                       text, size - 1);
  memcpy (buffer, text, length);
  buffer[length] = '\0';
  return STATUS_OK;
}

static enum status
take_service (struct cursor *cursor, struct statement *statement)
{
  static const char what[] = "the name of a service";
  const char *word = take (cursor);
  if (word == NULL)
    return fail_expected (what, NULL);
  return copy_name (statement->service, sizeof statement->service, word,
                    strlen (word), what);
}

static enum status
take_target (struct cursor *cursor, struct statement *statement)
{
  static const char what[] = "the name of a target";
  const char *word = take (cursor);
  if (word == NULL)
    return fail_expected (what, NULL);
  const char *slash = strchr (word, '/');
  if (slash != NULL)
    {
      const enum status status = copy_name (
          statement->service, sizeof statement->service, word,
          (size_t)(slash - word), "the name of a service before '/'");
      if (status != STATUS_OK)
        return status;
      word = slash + 1;
    }
  return copy_name (statement->target, sizeof statement->target, word,
                    strlen (word), what);
}

static enum status
take_number (struct cursor *cursor, const char *what, int64_t max,
             int64_t *number)
{
  const char *word = take (cursor);
  if (word == NULL || word[0] < '0' || word[0] > '9')
    return fail_expected (what, word);
  char *end;
  errno = 0;
  const long long value = strtoll (word, &end, 10);
  if (*end != '\0' || errno != 0 || value > max)
    return fail_expected (what, word);
  *number = value;
  return STATUS_OK;
}

static enum status
take_version (struct cursor *cursor, struct statement *statement)
{
  int64_t version = 0;
  if (!take_keyword (cursor, "at"))
    return STATUS_OK;
  enum status status = take_keyword_or_fail (cursor, "version");
  if (status == STATUS_OK)
    status = take_number (cursor, "a version's number", INT64_MAX, &version);
  if (status == STATUS_OK)
    statement->version = (uint64_t)version;
  return status;
}

/** Parse the operator at the start of TEXT.
 * @return its length, 0 if there is none. */
static size_t
read_operator (const char *text, enum filter_operator *comparison)
{
  static const struct
  {
    const char *text;
    enum filter_operator comparison;
  } operators[] = { { "!=", FILTER_NOT_EQUAL },
                    { "=", FILTER_EQUAL },
                    { "<", FILTER_LESS },
                    { ">", FILTER_GREATER },
                    { "~", FILTER_CONTAINS } };
  for (size_t i = 0; i < sizeof operators / sizeof operators[0]; i++)
    {
      const size_t length = strlen (operators[i].text);
      if (strncmp (text, operators[i].text, length) != 0)
        continue;
      *comparison = operators[i].comparison;
      return length;
    }
  return 0;
}

/* `field=value`, `field= value`, `field =value` and `field = value` are
   equivalent: the remainder of a word is used up before the next is taken.  A
   value extends to the end of its word, so that quoted values with blanks are
   kept. */
static enum status
take_filter (struct cursor *cursor, struct filter *filter)
{
  const char *rest = take (cursor);
  if (rest == NULL)
    return fail_expected ("FIELD=VALUE", NULL);
  const size_t field_length = strcspn (rest, "!=<>~");
  enum status status = copy_name (filter->field, sizeof filter->field, rest,
                                  field_length, "the name of a field");
  if (status != STATUS_OK)
    return status;
  rest += field_length;
  if (*rest == '\0')
    rest = take (cursor);
  const size_t operator_length
      = rest == NULL ? 0 : read_operator (rest, &filter->comparison);
  if (operator_length == 0)
    return fail_expected ("one of = != < > ~", rest);
  rest += operator_length;
  if (*rest == '\0')
    rest = take (cursor);
  if (rest == NULL)
    return fail_expected ("a value", NULL);
  return copy_name (filter->value, sizeof filter->value, rest, strlen (rest),
                    "a value");
}

static enum status
take_filters (struct cursor *cursor, struct statement *statement)
{
  if (!take_keyword (cursor, "where"))
    return STATUS_OK;
  do
    {
      if (statement->filter_count == STATEMENT_FILTERS_MAX)
        return status_set (STATUS_INVALID, "at most %d conditions",
                           STATEMENT_FILTERS_MAX);
      const enum status status
          = take_filter (cursor, &statement->filters[statement->filter_count]);
      if (status != STATUS_OK)
        return status;
      statement->filter_count++;
    }
  while (take_keyword (cursor, "and") || cursor->remaining > 0);
  return STATUS_OK;
}

static enum status
parse_show (struct cursor *cursor, struct statement *statement)
{
  const char *word = take (cursor);
  statement->kind = STATEMENT_SHOW;
  for (size_t i = 0; i < sizeof table_names / sizeof table_names[0]; i++)
    if (word != NULL && strcasecmp (word, table_names[i]) == 0)
      statement->table = table_names[i];
  if (statement->table == NULL)
    return fail_expected (
        "services, targets, hosts, routes, settings, decisions, "
        "counters, ejections or poison",
        word);
  return take_filters (cursor, statement);
}

static enum status
parse_explain_request (struct cursor *cursor, struct statement *statement)
{
  statement->kind = STATEMENT_EXPLAIN_REQUEST;
  statement->request = take (cursor);
  if (statement->request == NULL || statement->request[0] == '\0')
    return fail_expected ("the identity of a request", statement->request);
  statement->files = cursor->words;
  statement->file_count = cursor->remaining;
  cursor->remaining = 0;
  return STATUS_OK;
}

static enum status
parse_explain (struct cursor *cursor, struct statement *statement)
{
  if (take_keyword (cursor, "request"))
    return parse_explain_request (cursor, statement);
  statement->kind = STATEMENT_EXPLAIN_TARGET;
  if (!take_keyword (cursor, "target"))
    return fail_expected ("target or request", peek (cursor));
  return take_target (cursor, statement);
}

static enum status
parse_addresses (struct cursor *cursor, struct statement *statement)
{
  statement->kind = STATEMENT_ADDRESSES;
  return take_service (cursor, statement);
}

static enum status
parse_target_command (struct cursor *cursor, struct statement *statement)
{
  const enum status status = take_target (cursor, statement);
  return status == STATUS_OK ? take_version (cursor, statement) : status;
}

static enum status
parse_ejection_command (struct cursor *cursor, struct statement *statement)
{
  enum status status = take_keyword_or_fail (cursor, "ejection");
  if (status == STATUS_OK)
    status = take_service (cursor, statement);
  return status == STATUS_OK ? take_version (cursor, statement) : status;
}

static enum status
parse_set (struct cursor *cursor, struct statement *statement)
{
  enum status status = take_keyword_or_fail (cursor, "floor");
  if (status == STATUS_OK)
    status = take_service (cursor, statement);
  if (status == STATUS_OK)
    status = take_number (cursor, "the capacity to keep", UINT32_MAX,
                          &statement->floor);
  return status == STATUS_OK ? take_version (cursor, statement) : status;
}

static enum status
parse_clear (struct cursor *cursor, struct statement *statement)
{
  static const char what[] = "the fingerprint of a request";
  const enum status status = take_keyword_or_fail (cursor, "poison");
  if (status != STATUS_OK)
    return status;
  const char *word = take (cursor);
  if (word == NULL)
    return fail_expected (what, NULL);
  return copy_name (statement->fingerprint, sizeof statement->fingerprint,
                    word, strlen (word), what);
}

/** The statements by their first word. */
struct verb
{
  const char *word;
  const char *command; /**< NULL: not a command */
  enum status (*parse) (struct cursor *cursor, struct statement *statement);
};

static const struct verb verbs[]
    = { { "show", NULL, parse_show },
        { "explain", NULL, parse_explain },
        { "addresses", NULL, parse_addresses },
        { "drain", "drain", parse_target_command },
        { "undrain", "undrain", parse_target_command },
        { "eject", "eject", parse_target_command },
        { "reinstate", "reinstate", parse_target_command },
        { "pause", "pause-ejection", parse_ejection_command },
        { "resume", "resume-ejection", parse_ejection_command },
        { "set", "set-floor", parse_set },
        { "clear", "clear-poison", parse_clear } };

enum status
statement_parse (const char *const *words, size_t count,
                 struct statement *statement)
{
  struct cursor cursor = { .words = words, .remaining = count };
  const struct verb *verb = NULL;
  memset (statement, 0, sizeof *statement);
  statement->floor = -1;
  statement->kind = STATEMENT_COMMAND;
  const char *word = take (&cursor);
  for (size_t i = 0; i < sizeof verbs / sizeof verbs[0]; i++)
    if (word != NULL && strcasecmp (word, verbs[i].word) == 0)
      verb = &verbs[i];
  if (verb == NULL)
    return fail_expected ("show, explain, addresses, drain, undrain, eject, "
                          "reinstate, pause, resume, set or clear",
                          word);
  statement->command = verb->command;
  const enum status status = verb->parse (&cursor, statement);
  if (status == STATUS_OK && cursor.remaining > 0)
    return fail_expected (verb->command == NULL
                              ? "the end of the line"
                              : "\"at version N\" or the end of "
                                "the line",
                          peek (&cursor));
  return status;
}
