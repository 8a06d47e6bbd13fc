package org.comfreygap.runtime;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.InstanceOfAssertFactories.type;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import org.comfreygap.settings.Fault;
import org.comfreygap.settings.FieldRule;
import org.comfreygap.settings.ObjectSchema;
import org.junit.jupiter.api.Test;

/** Guards against settings faults that are reported one at a time or only at run time. */
class ProcessSettingsTest {

  private static final ObjectSchema SCHEMA =
      ProcessSettings.commonSchema()
          .required("httpAddress", FieldRule.ipPort())
          .optional("stopLagMillis", FieldRule.integer(0, 60_000))
          .build();

  /** Guards against a field that is silently taken from one of two places. */
  @Test
  void addsTheFieldsOfTheEnvironmentUnlessTheFileHasThem() throws Exception {
    String file =
        """
        processId: gateway-1
        zone: north
        adminAddress: 127.0.0.1:8081
        httpAddress: 127.0.0.1:8080
        control: ["127.0.0.1:7000"]
        security: {sharedKeyFile: key}
        """;
    assertThat(parse(file, "{\"stopLagMillis\":2000 } ").millis("stopLagMillis", Duration.ZERO))
        .isEqualTo(Duration.ofSeconds(2));
    assertThat(parse(file, " ").millis("stopLagMillis", Duration.ZERO)).isZero();

    for (String bad : new String[] {"{\"zone\":\"south\"}", "[1]", "{\"unknown\":1}", "{"}) {
      assertThatThrownBy(() -> parse(file, bad)).isInstanceOf(InvalidSettingsException.class);
    }
  }

  private static ProcessSettings parse(String file, String more) throws Exception {
    return ProcessSettings.parse("gateway.yaml", file, more, SCHEMA, Map.of());
  }

  @Test
  void readsAValidFile() throws Exception {
    ProcessSettings settings =
        ProcessSettings.parse(
            "gateway.yaml",
            """
            processId: gateway-1
            zone: north
            adminAddress: 127.0.0.1:8081
            httpAddress: 127.0.0.1:8080
            control: ["127.0.0.1:7000", "127.0.0.1:7001"]
            security: {sharedKeyFile: key}
            """,
            SCHEMA);

    assertThat(settings.address("httpAddress").getPort()).isEqualTo(8080);
    assertThat(settings.texts("control")).hasSize(2);
    assertThat(settings.text("security.sharedKeyFile")).isEqualTo("key");
    assertThat(settings.millis("stopLagMillis", Duration.ofSeconds(3)))
        .isEqualTo(Duration.ofSeconds(3));
    assertThat(settings.optionalText("security.keyStore")).isEmpty();
  }

  @Test
  void namesEveryFaultWithPathValueAndExpectation() {
    String yaml =
        """
        processId: "not a name"
        adminAddress: 127.0.0.1
        httpAddress: 127.0.0.1:8080
        stopLagMillis: soon
        control: ["a:1"]
        security: {}
        """;

    assertThatThrownBy(() -> ProcessSettings.parse("gateway.yaml", yaml, SCHEMA))
        .asInstanceOf(type(InvalidSettingsException.class))
        .satisfies(
            error ->
                assertThat(error.faults())
                    .extracting(Fault::path)
                    .containsExactlyInAnyOrder(
                        "processId",
                        "zone",
                        "adminAddress",
                        "stopLagMillis",
                        "control[0]",
                        "security.sharedKeyFile"))
        .satisfies(
            error ->
                assertThat(error.getMessage())
                    .contains("gateway.yaml: 6 faults")
                    .contains("stopLagMillis: given \"soon\", expected a whole number"));
  }

  @Test
  void explainsAFileThatCannotBeReadOrParsed() {
    assertThatThrownBy(() -> ProcessSettings.load(Path.of("/nonexistent.yaml"), SCHEMA))
        .isInstanceOf(InvalidSettingsException.class)
        .hasMessageContaining("expected a readable YAML file");
    assertThatThrownBy(() -> ProcessSettings.parse("x", "a: [", SCHEMA))
        .isInstanceOf(InvalidSettingsException.class)
        .hasMessageContaining("expected well-formed YAML");
    assertThatThrownBy(() -> ProcessSettings.parse("x", "", SCHEMA))
        .isInstanceOf(InvalidSettingsException.class);
  }
}
