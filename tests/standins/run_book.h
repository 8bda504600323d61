/** @file
 * A stand-in target's account of which request ran how often.
 */
#ifndef STANDINS_RUN_BOOK_H
#define STANDINS_RUN_BOOK_H

#include <stdint.h>

#include <json-c/json.h>

struct run_book;

struct run_book *run_book_create (void);
void run_book_destroy (struct run_book *book);

/** The request with ID ran once more. */
void run_book_note (struct run_book *book, const char *id);
uint32_t run_book_times (const struct run_book *book, const char *id);
/** The most any one request ran. */
uint32_t run_book_most (const struct run_book *book);
/** {"ID": times} as a new object. */
struct json_object *run_book_json (const struct run_book *book);

#endif
