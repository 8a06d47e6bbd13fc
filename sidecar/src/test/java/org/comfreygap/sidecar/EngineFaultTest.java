package org.comfreygap.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.comfreygap.protocol.generated.AttemptRequest;
import org.comfreygap.protocol.generated.Outcome;
import org.comfreygap.protocol.generated.RefusalReason;
import org.comfreygap.testkit.ColdStart;
import org.comfreygap.testkit.EndpointFault;
import org.comfreygap.testkit.EndpointRecord;
import org.comfreygap.testkit.EndpointRecord.EventKind;
import org.comfreygap.testkit.FakeEndpoint;
import org.comfreygap.testkit.FakeEngine;
import org.comfreygap.testkit.FakePlainService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests how the sidecar handles the fault cases in section 9 of the design page. */
class EngineFaultTest {

  /** Guards against passing on truncated, late, mismatched or lost responses as complete. */
  @ParameterizedTest
  @EnumSource(names = {"TRUNCATE", "TRUNCATE_CLEAN", "CROSSED", "LATE", "LOST_RUN_ACK", "SILENCE"})
  void finishesOnlyCompleteResponses(EndpointFault fault) throws Exception {
    for (boolean stream : List.of(true, false)) {
      try (FakeEngine engine = FakeEngine.builder("engine-1").loadMillis(1).start();
          SidecarFixture fixture = SidecarFixture.engine(engine, 2, 4)) {
        assertThat(fixture.gateway.run(TestGateway.attempt("a", 1)).finished()).isTrue();
        AttemptRequest request = TestGateway.attempt("a", 60).setStream(stream);
        if (!stream) {
          request.setBody("{\"prompt\":\"p\",\"max_tokens\":60}".getBytes("UTF-8"));
        }
        if (fault != EndpointFault.SILENCE) {
          engine.fault(fault, 1, 200, "");
        }
        TestGateway.Reply reply = fixture.gateway.post(request);
        if (fault == EndpointFault.SILENCE) {
          SidecarFixture.await("the attempt runs", () -> engine.record().runs().size() == 2);
          engine.fault(fault, 1);
        }
        reply.await();
        if (fault == EndpointFault.CROSSED) {
          assertThat(reply.last.getFailure().getOutcome()).isEqualTo(Outcome.UNKNOWN);
          assertThat(reply.text()).isEmpty();
        } else {
          // The engine keeps the response, so the sidecar resumes it after a connection failure.
          assertThat(reply.finished()).as("%s %s", fault, reply.last).isTrue();
          assertThat(reply.text()).contains("60/60");
        }
        assertThat(engine.record().runs()).hasSize(2);
      }
    }
  }

  /** Guards against passing on a truncated service response as complete, or sending it again. */
  @ParameterizedTest
  @EnumSource(names = {"TRUNCATE", "TRUNCATE_CLEAN", "LOST_RUN_ACK"})
  void truncatedServiceResponseHasUnknownOutcome(EndpointFault fault) throws Exception {
    try (FakePlainService service = FakePlainService.builder("service-1").start();
        SidecarFixture fixture = SidecarFixture.service(service, 4, "4,\"rampSeconds\":0")) {
      assertThat(fixture.gateway.run(TestGateway.call("GET", "/x")).finished()).isTrue();
      service.fault(fault, 1);
      TestGateway.Reply reply = fixture.gateway.run(TestGateway.call("POST", "/orders?n=1"));
      assertThat(reply.last.isSetFailure()).as("%s", reply.last).isTrue();
      assertThat(reply.last.getFailure().getOutcome()).isEqualTo(Outcome.UNKNOWN);
      assertThat(service.record().runs()).hasSize(2);
    }
  }

  /** Guards against undetected crashes and against reporting requests that were not in flight. */
  @Test
  void crashFailsInFlightAttemptsAndReportsFingerprints() throws Exception {
    try (FakeEngine engine = FakeEngine.builder("engine-1").loadMillis(1).start();
        SidecarFixture fixture = SidecarFixture.engine(engine, 2, 4)) {
      assertThat(fixture.gateway.run(TestGateway.attempt("b", 1)).finished()).isTrue();
      String boot = engine.bootId();
      TestGateway.Reply neighbour = fixture.gateway.post(TestGateway.attempt("b", 5_000));
      neighbour.awaitData();
      AttemptRequest request = TestGateway.attempt("b", 5).setFingerprint("fp-crash");
      request.setBody(("{\"prompt\":\"" + FakeEndpoint.CRASH_MARKER + "\"}").getBytes("UTF-8"));
      for (TestGateway.Reply reply : List.of(fixture.gateway.run(request), neighbour.await())) {
        assertThat(reply.last.getFailure().getOutcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(reply.last.getFailure().isEndpointCrashed()).isTrue();
      }
      SidecarFixture.await(
          "the crash is reported to control", () -> !fixture.control.crashReports.isEmpty());
      assertThat(fixture.control.crashReports).hasSize(1);
      assertThat(fixture.control.crashReports.get(0).getEndedBootId()).isEqualTo(boot);
      assertThat(fixture.control.crashReports.get(0).getFingerprints())
          .containsExactlyInAnyOrder("fp-b", "fp-crash");
      SidecarFixture.await("the sidecar is ready again", fixture.sidecar::ready);
      assertThat(fixture.gateway.run(TestGateway.attempt("b", 5)).finished()).isTrue();
    }
  }

  /** Guards against running two isolated crash suspects concurrently on one endpoint. */
  @Test
  void isolatedAttemptsRunOneAtATime() throws Exception {
    try (FakeEngine engine = FakeEngine.builder("engine-1").loadMillis(1).start();
        SidecarFixture fixture = SidecarFixture.engine(engine, 2, 8)) {
      List<TestGateway.Reply> replies = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        replies.add(fixture.gateway.post(TestGateway.attempt("a", 20).setIsolated(true)));
      }
      TestGateway.Reply neighbour = fixture.gateway.run(TestGateway.attempt("a", 5));
      assertThat(neighbour.finished()).isTrue();
      for (TestGateway.Reply reply : replies) {
        assertThat(reply.await().finished()).isTrue();
      }
      List<EndpointRecord.Run> runs = engine.record().runs();
      List<String> isolated = replies.stream().map(r -> r.frames.get(0).getAttemptId()).toList();
      List<Long> starts =
          runs.stream()
              .filter(run -> isolated.contains(run.attempt()))
              .map(EndpointRecord.Run::startMillis)
              .toList();
      assertThat(starts).hasSize(3);
      for (int i = 1; i < starts.size(); i++) {
        // A run of 20 steps of at least 5 ms each lasts 100 ms.
        assertThat(starts.get(i) - starts.get(i - 1)).isGreaterThanOrEqualTo(99);
      }
    }
  }

  /** Guards against using stale residency after the engine restarted empty, also during a load. */
  @ParameterizedTest
  @CsvSource({"true,true", "true,false", "false,true", "false,false"})
  void neverRunsBaseModelAfterEngineRestartsEmpty(boolean duringLoad, boolean fallback)
      throws Exception {
    try (FakeEngine engine = FakeEngine.builder("engine-1").loadMillis(200).start();
        SidecarFixture fixture = SidecarFixture.engine(engine, 2, 8)) {
      assertThat(fixture.gateway.run(TestGateway.attempt("a", 1)).finished()).isTrue();
      if (fallback) {
        engine.fault(EndpointFault.BASE_FALLBACK, 1_000);
      }
      TestGateway.Reply loading = fixture.gateway.post(TestGateway.attempt("b", 3));
      if (duringLoad) {
        SidecarFixture.await(
            "the load permit is granted", () -> fixture.control.grantedPermits.size() == 2);
        Thread.sleep(50);
      }
      engine.restart(50);
      int finished = 0;
      for (int i = 0; i < 40; i++) {
        TestGateway.Reply reply = fixture.gateway.run(TestGateway.attempt("a", 1));
        assertThat(reply.text()).doesNotContain("base ");
        finished += reply.finished() ? 1 : 0;
        Thread.sleep(10);
      }
      assertThat(loading.await().text()).doesNotContain("base ");
      TestGateway.Reply last = fixture.gateway.run(TestGateway.attempt("a", 1));
      assertThat(last.finished()).as("after %d: %s", finished, last.last).isTrue();
      SidecarFixture.await("all permits are released", () -> fixture.control.openPermits.isEmpty());
    }
  }

  /** Guards against a blocked loader, a leaked permit and a wrong outcome after a failed load. */
  @ParameterizedTest
  @CsvSource({"FAIL_LOADS,false", "LOST_LOAD_ACK,true"})
  void refusesFailedLoadAndVerifiesUnacknowledgedLoad(EndpointFault fault, boolean finishes)
      throws Exception {
    try (FakeEngine engine = FakeEngine.builder("engine-1").loadMillis(20).start();
        SidecarFixture fixture = SidecarFixture.engine(engine, 1, 4)) {
      engine.fault(fault, 1);
      TestGateway.Reply reply = fixture.gateway.run(TestGateway.attempt("a", 2));
      if (finishes) {
        assertThat(reply.finished() || reply.refusal() == RefusalReason.LOAD_FAILED).isTrue();
      } else {
        assertThat(reply.refusal()).isEqualTo(RefusalReason.LOAD_FAILED);
        assertThat(reply.last.getRefusal().getOutcome()).isEqualTo(Outcome.NOT_RUN);
      }
      SidecarFixture.await("all permits are released", () -> fixture.control.openPermits.isEmpty());
      assertThat(fixture.gateway.run(TestGateway.attempt("a", 2)).finished()).isTrue();
      assertThat(fixture.gateway.run(TestGateway.attempt("b", 2)).finished()).isTrue();
    }
  }

  /** Guards against evicting adapters in use when more adapters are requested than slots exist. */
  @Test
  void neverEvictsAdapterInUse() throws Exception {
    try (FakeEngine engine = FakeEngine.builder("engine-1").slots(2).loadMillis(5).start();
        SidecarFixture fixture = SidecarFixture.engine(engine, 2, 8)) {
      List<TestGateway.Reply> replies = new ArrayList<>();
      for (int i = 0; i < 80; i++) {
        replies.add(fixture.gateway.post(TestGateway.attempt("" + (char) ('a' + i % 8), 5)));
      }
      for (TestGateway.Reply reply : replies) {
        assertThat(reply.await().finished()).as("%s", reply.last).isTrue();
      }
      assertThat(engine.record().events(EventKind.EVICTED_IN_USE)).isEmpty();
      assertThat(engine.record().events(EventKind.NOT_RESIDENT)).isEmpty();
      assertThat(engine.record().runs())
          .allMatch(run -> run.named().equals(run.adapter()), "ran on the adapter it names");
    }
  }

  /** Guards against evicting adapters of requests that an earlier sidecar process left running. */
  @Test
  void restartedSidecarTreatsResidentAdaptersAsInUse() throws Exception {
    try (FakeEngine engine = FakeEngine.builder("engine-1").slots(1).loadMillis(5).start();
        SidecarFixture fixture = SidecarFixture.engine(engine, 1, 4)) {
      AttemptRequest request = TestGateway.attempt("a", 20_000);
      fixture.gateway.post(request).awaitData();
      fixture.control.leaseMillisAtControl = 100;
      SidecarFixture.await("control has shortened the lease", fixture.control::leaseExpiresSoon);
      fixture.sidecar.kill();
      fixture.start();
      TestGateway.Reply reply =
          fixture.gateway.post(TestGateway.attempt("b", 2).setDeadlineMillis(300_000));
      SidecarFixture.await("the attempt is queued", () -> fixture.sidecar.queued() == 1);
      Thread.sleep(1_000);
      assertThat(engine.record().events(EventKind.EVICTED_IN_USE)).isEmpty();
      assertThat(engine.resident()).containsExactly("blue/a@v1");
      try (HttpEngineClient client = new HttpEngineClient(URI.create(engine.url()))) {
        client.cancel(request.getAttemptId(), Duration.ofSeconds(10)).get();
      }
      assertThat(reply.await().finished()).as("%s", reply.last).isTrue();
      assertThat(engine.record().events(EventKind.EVICTED_IN_USE)).isEmpty();
    }
  }

  /**
   * Guards against two sidecars using one engine that ignores fencing numbers: the old sidecar
   * stops at lease expiry, and the new one waits until then.
   */
  @Test
  void onlyOneOfTwoSidecarsUsesTheEndpoint() throws Exception {
    try (FakeEngine engine =
            FakeEngine.builder("engine-1").slots(1).loadMillis(5).checksFencing(false).start();
        SidecarFixture fixture = SidecarFixture.engine(engine, 1, 4)) {
      fixture.control.leaseMillis = 1_500;
      fixture.control.leaseMillisAtControl = 2_000;
      TestGateway old = fixture.gateway;
      Sidecar first = fixture.sidecar;
      try (TestGateway oldGateway = old) {
        TestGateway.Reply running = oldGateway.post(TestGateway.attempt("a", 600));
        running.awaitData();
        fixture.startUnready();
        assertThat(fixture.gateway.run(TestGateway.attempt("b", 2)).refusal())
            .isIn(RefusalReason.NO_LEASE, RefusalReason.STALE_SETTINGS);
        fixture.control.rejectedProcess = "sidecar-1";
        SidecarFixture.await("the second sidecar is ready", fixture.sidecar::ready);
        assertThat(oldGateway.run(TestGateway.attempt("c", 2)).refusal())
            .as("the first sidecar after its lease expired")
            .isIn(RefusalReason.NO_LEASE, RefusalReason.STALE_SETTINGS);
        assertThat(fixture.gateway.run(TestGateway.attempt("b", 2)).finished()).isTrue();
        assertThat(running.await().finished()).as("%s", running.last).isTrue();
        assertThat(engine.record().events(EventKind.EVICTED_IN_USE)).isEmpty();
        assertThat(engine.record().events(EventKind.STALE_FENCING)).isEmpty();
      } finally {
        first.kill();
      }
    }
  }

  /** Guards against sending full load to an endpoint that restarted cold. */
  @Test
  void doesNotOverloadColdEngineWithFullQueue() throws Exception {
    try (FakeEngine engine =
            FakeEngine.builder("engine-1")
                .maxBatch(16)
                .loadMillis(5)
                .coldStart(new ColdStart(2, 2_000))
                .start();
        SidecarFixture fixture = SidecarFixture.engine(engine, 4, 16, "2,\"rampSeconds\":2")) {
      List<TestGateway.Reply> replies = new ArrayList<>();
      for (int wave = 0; wave < 3; wave++) {
        for (int i = 0; i < 60; i++) {
          replies.add(fixture.gateway.post(TestGateway.attempt("a", 10)));
        }
        Thread.sleep(150);
        engine.restart(100);
        SidecarFixture.await("the sidecar is ready again", fixture.sidecar::ready);
      }
      for (TestGateway.Reply reply : replies) {
        reply.await();
      }
      assertThat(fixture.gateway.run(TestGateway.attempt("a", 2)).finished()).isTrue();
      assertThat(engine.record().events(EventKind.COLD_OVERLOAD)).isEmpty();
      assertThat(engine.record().events(EventKind.OVER_BOUND)).isEmpty();
    }
  }

  /** Guards against overloading a plain service that has just started. */
  @Test
  void rampsUpColdService() throws Exception {
    try (FakePlainService service =
            FakePlainService.builder("service-1")
                .maxConcurrent(16)
                .serviceMillis(20)
                .coldStart(new ColdStart(2, 1_500))
                .warm(false)
                .start();
        SidecarFixture fixture = SidecarFixture.service(service, 16, "2,\"rampSeconds\":1.5")) {
      List<TestGateway.Reply> replies = new ArrayList<>();
      for (int i = 0; i < 120; i++) {
        replies.add(fixture.gateway.post(TestGateway.call("GET", "/x")));
      }
      for (TestGateway.Reply reply : replies) {
        assertThat(reply.await().finished()).as("%s", reply.last).isTrue();
      }
      assertThat(service.record().events(EventKind.COLD_OVERLOAD)).isEmpty();
      assertThat(service.record().events(EventKind.OVER_BOUND)).isEmpty();
    }
  }

  /**
   * Guards against releasing the unit and pin of an abandoned attempt that a frozen engine still
   * runs.
   */
  @Test
  void keepsUnitAndPinOfAbandonedAttemptWhileEngineIsFrozen() throws Exception {
    try (FakeEngine engine =
            FakeEngine.builder("engine-1").slots(1).maxBatch(2).loadMillis(5).start();
        SidecarFixture fixture = SidecarFixture.engine(engine, 1, 2)) {
      TestGateway.Reply running =
          fixture.gateway.post(TestGateway.attempt("a", 400).setDeadlineMillis(1_000));
      running.awaitData();
      engine.fault(EndpointFault.FREEZE, 1, 2_500, "");
      assertThat(running.await().last.getFailure().getOutcome()).isEqualTo(Outcome.UNKNOWN);
      TestGateway.Reply reply = fixture.gateway.run(TestGateway.attempt("b", 2));
      while (reply.refusal() == RefusalReason.ENDPOINT_UNREACHABLE) {
        Thread.sleep(100);
        reply = fixture.gateway.run(TestGateway.attempt("b", 2));
      }
      assertThat(reply.finished()).as("%s", reply.last).isTrue();
      assertThat(engine.record().events(EventKind.EVICTED_IN_USE)).isEmpty();
      String states =
          engine.record().runs().stream().map(r -> r.state()).collect(Collectors.joining(","));
      assertThat(states).isIn("cancelled,finished", "finished,finished");
    }
  }
}
