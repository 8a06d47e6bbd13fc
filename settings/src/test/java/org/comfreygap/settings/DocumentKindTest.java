package org.comfreygap.settings;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that the schemas report every invalid field, all at once. */
class DocumentKindTest {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  @ParameterizedTest
  @CsvSource({
    "/teams/a, TEAM",
    "/teams/a/customers/b, CUSTOMER",
    "/teams/a/customers/b/limits, LIMITS",
    "/teams/a/customers/b/keys/k, KEY",
    "/teams/a/adapters/x, ADAPTER",
    "/teams/a/adapters/x/versions/1.0, ADAPTER_VERSION",
    "/teams/a/services/s, SERVICE",
    "/platform/zones/z, ZONE",
    "/platform/endpoints/e, ENDPOINT",
    "/platform/store, STORE"
  })
  void findsTheKindOfEachPath(String path, DocumentKind kind) {
    assertThat(DocumentKind.of(SettingsPath.parse(path).orElseThrow())).contains(kind);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", "/", "teams/a", "/teams//a", "/teams/a/", "/teams/a b", "/teams/../x"})
  void refusesMalformedPaths(String path) {
    assertThat(SettingsPath.parse(path)).isEmpty();
  }

  @Test
  void namesEveryFaultAtOnce() throws Exception {
    String document =
        "{\"zone\":5,\"kind\":\"engin\",\"sidecar\":\"localhost\",\"maxBatch\":0,\"colour\":1,"
            + "\"coldStart\":{\"initialConcurrency\":0}}";

    List<Fault> faults =
        DocumentKind.ENDPOINT.schema().check("/platform/endpoints/e", MAPPER.readTree(document));

    assertThat(faults)
        .extracting(Fault::path)
        .containsExactlyInAnyOrder(
            "/platform/endpoints/e:zone",
            "/platform/endpoints/e:kind",
            "/platform/endpoints/e:sidecar",
            "/platform/endpoints/e:maxBatch",
            "/platform/endpoints/e:colour",
            "/platform/endpoints/e:coldStart.initialConcurrency",
            "/platform/endpoints/e:coldStart.rampSeconds");
    assertThat(faults)
        .extracting(Fault::message)
        .contains("/platform/endpoints/e:kind: given \"engin\", expected one of engine, service");
  }

  @ParameterizedTest
  @CsvSource({
    "127.0.0.1:80, true",
    "[::1]:80, true",
    "256.0.0.1:80, false",
    "127.0.0.1:65536, false",
    "localhost:80, false",
    "127.0.0.1, false"
  })
  void acceptsOnlyIpAddressesWithAPort(String text, boolean accepted) throws Exception {
    List<Fault> faults = new java.util.ArrayList<>();
    FieldRule.ipPort().check("x", MAPPER.readTree("\"" + text + "\""), faults::add);
    assertThat(faults.isEmpty()).isEqualTo(accepted);
  }
}
