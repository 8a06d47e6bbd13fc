import java.nio.file.Path;

/** Runs one case: prepares its deployment and ends with the code that says what was seen. */
final class Case {

  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int UNUSABLE = 2;

  /** Below the 120 seconds that a script may take. */
  private static final int MOST_SECONDS = 115;

  private Case() {}

  /** The steps of a case. */
  interface Steps {

    /** Returns {@link #HELD} or {@link #BROKEN}. */
    int run(Fleet fleet, boolean trouble) throws Exception;
  }

  /** Runs a case whose folder is the first argument. */
  static void run(String[] args, Steps steps) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Fleet fleet = new Fleet(Path.of(args[0]));
    fleet.write(trouble ? "with the disruption" : "without the disruption");
    Runner.daemon(
        "limit",
        () -> {
          try {
            Thread.sleep(MOST_SECONDS * 1_000L);
          } catch (InterruptedException e) {
            return;
          }
          fleet.write("exit " + UNUSABLE + ", the case took too long");
          fleet.close();
          Runtime.getRuntime().halt(UNUSABLE);
        });
    int code = UNUSABLE;
    try {
      code = steps.run(fleet, trouble);
    } catch (Exception e) {
      fleet.write("cannot run: " + e);
    }
    fleet.write("exit " + code);
    fleet.close();
    System.exit(code);
  }
}
