package org.comfreygap.runtime;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;

/**
 * Runs a program for a moment so that the JVM can archive its classes ({@code
 * -XX:ArchiveClassesAtExit}). A restarted program then maps them instead of reading, checking and
 * linking each, which is most of its start on an instance with little processor time.
 *
 * <p>Thread safety: used once.
 *
 * @since 0.2
 */
public final class CdsTrainingRun {

  /** Time for the duties of a program to run once. */
  private static final Duration RUN_TIME = Duration.ofMillis(2_500);

  /** Packages whose classes are needed only once requests come, which they do not in training. */
  private static final List<String> PACKAGES =
      List.of(
          "org/comfreygap/relay/",
          "org/comfreygap/platform/",
          "org/comfreygap/protocol/generated/",
          "org/comfreygap/runtime/",
          "org/comfreygap/settings/",
          "org/comfreygap/decisions/",
          "io/netty/handler/codec/http/Http",
          "io/netty/handler/codec/http/Default",
          "io/netty/buffer/",
          "io/netty/channel/nio/",
          "io/netty/channel/socket/nio/");

  private CdsTrainingRun() {}

  /**
   * Starts the program, loads the classes of its jar that requests need, stops it and returns.
   *
   * @throws Exception when the program cannot start
   */
  public static void run(Program.Launcher start, Path settings, Path jar) throws Exception {
    AutoCloseable running = start.launch(settings);
    int loaded = loadClasses(jar);
    Thread.sleep(RUN_TIME.toMillis());
    running.close();
    System.out.println("loaded " + loaded + " classes for the archive");
  }

  private static int loadClasses(Path jar) throws IOException {
    int loaded = 0;
    try (JarFile file = new JarFile(jar.toFile())) {
      for (JarEntry entry : file.stream().toList()) {
        String name = entry.getName();
        if (name.endsWith(".class") && PACKAGES.stream().anyMatch(name::startsWith)) {
          loaded += tryLoad(name.substring(0, name.length() - 6).replace('/', '.')) ? 1 : 0;
        }
      }
    }
    return loaded;
  }

  private static boolean tryLoad(String name) {
    try {
      Class.forName(name, false, CdsTrainingRun.class.getClassLoader());
      return true;
    } catch (ClassNotFoundException | LinkageError e) {
      // Some classes need libraries that are not there; they are not used either.
      return false;
    }
  }
}
