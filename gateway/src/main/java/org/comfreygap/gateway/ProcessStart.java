package org.comfreygap.gateway;

/**
 * Identifies one start of this process.
 *
 * <p>Thread safety: immutable.
 *
 * @param startId new for each start
 */
record ProcessStart(String startId) {}
