/** @file
 * Reading of the objects of one kind: a list, then watches.  Internal to the
 * control task.
 */
#ifndef NODE_CONTROL_CONTROL_FEED_H
#define NODE_CONTROL_CONTROL_FEED_H

#include "node/control/control_internal.h"

/** Start reading; the task, the kind and who watches it are set. */
void control_feed_start (struct control_feed *feed);
void control_feed_stop (struct control_feed *feed);

/** Make the next call, unless one is in flight or delayed. */
void control_feed_next (struct control_feed *feed);

/** The host's role or contact has changed: make the next call now if it would
 * be late. */
void control_feed_wake (struct control_feed *feed);

/** Cancel the call in flight and make the next one. */
void control_feed_restart (struct control_feed *feed);

/** List again if what is watched is of an earlier era than ERA. */
void control_feed_follow_era (struct control_feed *feed, uint64_t era);

/** Whether the newest state has been read recently and still is. */
bool control_feed_is_current (const struct control_feed *feed);

/** Whether this host has to read the newest state from the platform itself. */
bool control_feed_reads_newest (const struct control_task *task);

/* control_feed_reply.c */
/** Apply the objects of REPLY. */
void control_feed_apply (struct control_feed *feed,
                         const struct platform_reply *reply);
/** Remove the objects that a list lacks. */
void control_feed_remove_missing (struct control_feed *feed,
                                  const struct platform_reply *reply);
/** Note that the configuration read was the newest. */
void control_feed_note_freshness (const struct control_feed *feed,
                                  const struct platform_reply *reply);
/** Note the revision of REPLY, and log one that has decreased. */
void control_feed_note_revision (struct control_feed *feed,
                                 const struct platform_reply *reply);

#endif
