package org.comfreygap.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import org.comfreygap.protocol.generated.AttemptRequest;
import org.comfreygap.testkit.FakeEngine;
import org.junit.jupiter.api.Test;

/** Tests an attempt that passes through the sidecar without faults. */
class SidecarTest {

  @Test
  void streamsCompleteResponseOfLoadedAdapter() throws Exception {
    try (FakeEngine engine = FakeEngine.builder("engine-1").loadMillis(20).start();
        SidecarFixture fixture = SidecarFixture.engine(engine, 4, 8)) {
      AttemptRequest request = TestGateway.attempt("a", 20);
      TestGateway.Reply reply = fixture.gateway.run(request);
      assertThat(reply.finished()).as("%s", reply.last).isTrue();
      assertThat(reply.text()).contains("blue/a@v1").contains("20/20").contains("data: [DONE]");
      assertThat(reply.frames).allMatch(f -> f.getAttemptId().equals(request.getAttemptId()));
      SidecarFixture.await("the permit is released", () -> fixture.control.openPermits.isEmpty());
    }
  }
}
