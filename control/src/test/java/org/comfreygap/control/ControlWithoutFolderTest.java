package org.comfreygap.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.comfreygap.runtime.InvalidSettingsException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests an instance whose settings have an empty data folder.
 *
 * <p>Guards against a process that exits at every start, and against a voting replica without a
 * disk.
 */
class ControlWithoutFolderTest {

  @TempDir private Path folder;
  private Path settings;

  @BeforeEach
  void writeSettings() throws Exception {
    Path key = Files.writeString(folder.resolve("key"), "0123456789abcdef");
    settings =
        Files.writeString(
            folder.resolve("control.yaml"),
            String.join(
                "\n",
                "processId: control-2",
                "zone: a",
                "portBlock: {host: \"127.0.0.1\", first: 7600, last: 7615}",
                "seeds: [\"127.0.0.1:8229\"]",
                "createLog: true",
                "security: {sharedKeyFile: \"" + key + "\"}",
                "httpAddress: \"127.0.0.1:8229\"",
                "dataFolder: \"\"",
                "operators: []",
                ""));
  }

  @Test
  void startsFallbackInsteadOfReplica() throws Exception {
    List<Path> started = new ArrayList<>();

    ControlMain.start(
        settings,
        publisher -> List.of(),
        file -> {
          started.add(file);
          return () -> {};
        });

    assertThat(started).containsExactly(settings);
  }

  @Test
  void failsWithoutFallback() {
    assertThatThrownBy(() -> ControlMain.start(settings))
        .isInstanceOf(InvalidSettingsException.class)
        .hasMessageContaining("dataFolder");
  }
}
