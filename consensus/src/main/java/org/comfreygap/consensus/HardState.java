package org.comfreygap.consensus;

/**
 * What a replica must remember to keep its promises: synced before any answer that depends on it.
 *
 * @param term newest term seen
 * @param votedFor candidate that has this replica's vote in the term, or empty text
 */
record HardState(long term, String votedFor) {

  static final HardState NONE = new HardState(0, "");
}
