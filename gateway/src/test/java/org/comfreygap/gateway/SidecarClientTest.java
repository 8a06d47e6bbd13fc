package org.comfreygap.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which statuses of a sidecar mean that an attempt did not reach it. */
class SidecarClientTest {

  /** Guards against an attempt that may run and is made again after a status that says nothing. */
  @ParameterizedTest
  @ValueSource(ints = {0, 7, 99, 100, 101, 200, 204, 302, 399, 500, 502, 599, 600, 1000})
  void doesNotTakeOtherStatusesForARejection(int status) {
    assertThat(SidecarClient.isRejected(status)).isFalse();
  }

  @ParameterizedTest
  @ValueSource(ints = {400, 401, 404, 413, 499, 503})
  void takesClientErrorsAndAStoppingServerForARejection(int status) {
    assertThat(SidecarClient.isRejected(status)).isTrue();
  }
}
