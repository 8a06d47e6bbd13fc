package org.comfreygap.gateway;

/**
 * Identifies one run of this process.
 *
 * <p>Thread safety: immutable.
 *
 * @param startId unique id of the run
 */
record ProcessStart(String startId) {}
