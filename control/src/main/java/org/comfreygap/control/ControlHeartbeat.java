package org.comfreygap.control;

import java.time.Duration;
import org.comfreygap.protocol.generated.HeartbeatReply;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.ControlUnavailableException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends the heartbeat that lists a control instance in the leader's membership view.
 *
 * <p>Thread safety: stateless.
 */
final class ControlHeartbeat {

  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final Logger LOG = LoggerFactory.getLogger(ControlHeartbeat.class);

  private ControlHeartbeat() {}

  static void send(ControlClient client, ProcessIdentity identity, long revision, boolean leaving) {
    try {
      HeartbeatReply reply =
          client.callLeader(
              TIMEOUT, c -> c.heartbeat(new HeartbeatRequest(identity, revision, leaving, 0)));
      // The instances that this one was started with may all be gone by now.
      client.addresses(reply.getControlAddresses().stream().map(Addresses::parse).toList());
    } catch (ControlUnavailableException e) {
      LOG.debug("no leader accepted the heartbeat", e);
    }
  }
}
