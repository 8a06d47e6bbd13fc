package org.comfreygap.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a SIGTERM that arrives while a program starts, in processes of their own. */
class ProgramTest {

  @TempDir private Path folder;

  /** Guards against a gateway that ends without a stop when it has just opened its port. */
  @Test
  void stopsWhatWasStartingWhenTheSignalArrived() throws Exception {
    assertThat(outputAfterSignal("slow")).containsExactly("started", "closed");
  }

  /** Guards against a process that waits for a start that failed. */
  @Test
  void endsWhenTheStartFailsAfterTheSignal() throws Exception {
    assertThat(outputAfterSignal("failing")).isEmpty();
  }

  /** Guards against a process that waits until it is killed for a start that hangs. */
  @Test
  void endsWhenTheStartHangs() throws Exception {
    assertThat(outputAfterSignal("hanging")).isEmpty();
  }

  /** A program that says when its port is open, a second before its start ends. */
  static final class Child {

    public static void main(String[] args) {
      Program.run("child", args, Child::start);
    }

    private static AutoCloseable start(Path mode) throws Exception {
      System.out.println("listening");
      Thread.sleep(mode.toString().equals("hanging") ? 60_000 : 1_000);
      if (mode.toString().equals("failing")) {
        throw new IllegalStateException("the start fails, as the test wants");
      }
      System.out.println("started");
      return () -> System.out.println("closed");
    }
  }

  /** Returns the lines that the child writes after the signal. */
  private List<String> outputAfterSignal(String mode) throws Exception {
    Path output = folder.resolve(mode);
    Process child =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                folderOf(Program.class) + ":" + folderOf(Child.class),
                Child.class.getName(),
                mode)
            .redirectOutput(output.toFile())
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    try {
      long end = System.nanoTime() + Duration.ofSeconds(30).toNanos();
      while (!Files.readAllLines(output).contains("listening")) {
        assertThat(System.nanoTime()).as("listening within 30 s").isLessThan(end);
        Thread.sleep(20);
      }
      child.destroy();
      assertThat(child.waitFor(15, TimeUnit.SECONDS)).as("ended within 15 s").isTrue();
      List<String> lines = Files.readAllLines(output);
      return lines.subList(1, lines.size());
    } finally {
      child.destroyForcibly();
    }
  }

  private static Path folderOf(Class<?> type) throws Exception {
    URI folder = type.getProtectionDomain().getCodeSource().getLocation().toURI();
    return Path.of(folder);
  }
}
