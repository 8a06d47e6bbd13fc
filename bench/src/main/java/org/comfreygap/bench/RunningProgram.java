package org.comfreygap.bench;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A program that the measurement runs in its own process.
 *
 * <p>Thread safety: all methods may be called from any thread.
 *
 * @since 0.1
 */
final class RunningProgram {

  private static final Logger LOG = LoggerFactory.getLogger(RunningProgram.class);

  private static final long STOP_SECONDS = 40;

  private final String id;
  private final Process process;

  private RunningProgram(String id, Process process) {
    this.id = id;
    this.process = process;
  }

  /** Starts {@code bin/name settings} with its output in {@code folder/id.log}. */
  static RunningProgram start(
      Path root, String name, String id, Path folder, String settings, String javaOptions)
      throws IOException {
    Path file = folder.resolve(id + ".yaml");
    Files.writeString(file, settings);
    File log = folder.resolve(id + ".log").toFile();
    ProcessBuilder builder =
        new ProcessBuilder(List.of(root.resolve("bin/" + name).toString(), file.toString()))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    builder.environment().put("COMFREYGAP_JAVA_OPTS", javaOptions);
    return new RunningProgram(id, builder.start());
  }

  String id() {
    return id;
  }

  boolean alive() {
    return process.isAlive();
  }

  /** Returns the processor time used so far in seconds; 0 when the process has ended. */
  double cpuSeconds() {
    return process
        .toHandle()
        .info()
        .totalCpuDuration()
        .map(used -> used.toMillis() / 1_000.0)
        .orElse(0.0);
  }

  /** Returns the resident memory in bytes; 0 when the process has ended. */
  long residentBytes() {
    try {
      for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
        if (line.startsWith("VmRSS:")) {
          return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1_024;
        }
      }
    } catch (IOException e) {
      LOG.debug("cannot read the resident memory of a process", e);
    }
    return 0;
  }

  /** Returns the size of the live heap in bytes after a full collection. */
  long liveHeapBytes() throws IOException, InterruptedException {
    Process histogram =
        new ProcessBuilder("jcmd", Long.toString(process.pid()), "GC.class_histogram")
            .redirectErrorStream(true)
            .start();
    long total = 0;
    for (String line : new String(histogram.getInputStream().readAllBytes()).split("\n")) {
      if (line.startsWith("Total ")) {
        total = Long.parseLong(line.trim().split("\\s+")[2]);
      }
    }
    histogram.waitFor();
    return total;
  }

  /** Requests a stop of the program and doesn't wait for it. */
  void terminate() {
    process.destroy();
  }

  /** Kills the process. */
  void kill() {
    process.destroyForcibly();
  }

  /** Waits for the process to exit; kills it after 40 s and returns false in that case. */
  boolean awaitEnd() throws InterruptedException {
    if (process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
      return true;
    }
    process.destroyForcibly();
    return false;
  }
}
