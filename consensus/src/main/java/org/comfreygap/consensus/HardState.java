package org.comfreygap.consensus;

/**
 * The term and vote of a replica; synced before any message that depends on them is sent.
 *
 * @param term newest known term
 * @param votedFor candidate this replica voted for in the term, or an empty string
 */
record HardState(long term, String votedFor) {

  static final HardState NONE = new HardState(0, "");
}
