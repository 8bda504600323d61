/** @file
 * The exit codes of `jaystair`; jaystair(1) documents them.
 */
#ifndef CTL_EXIT_CODE_H
#define CTL_EXIT_CODE_H

enum exit_code
{
  EXIT_CODE_DONE = 0,
  EXIT_CODE_CONFLICT = 1,    /**< refused: what it acts on had changed */
  EXIT_CODE_USAGE = 2,       /**< the statement or an option is invalid */
  EXIT_CODE_UNREACHABLE = 3, /**< certainly without effect */
  EXIT_CODE_UNKNOWN = 4,     /**< may or may not have taken effect */
  EXIT_CODE_NOT_FOUND = 5,
  EXIT_CODE_NOT_AUTHORISED = 6,
};

#endif
