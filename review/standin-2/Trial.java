import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** What all cases share: the record, the verdict and the end of the processes. */
final class Trial {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** Whether the disruption takes place. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private Trial() {}

    interface Body {
        /** Plays the case; false if it could not run. */
        boolean play() throws Exception;
    }

    /** Runs a case, whose folder is the first argument, and ends this process with its exit code. */
    static void run(String[] args, Jobs jobs, Body body) {
        Record.open(Path.of(args[0], "record.txt"));
        Record.say("trouble: " + TROUBLE);
        int code = NOT_RUN;
        try {
            Thread clock = new Thread(() -> {
                while (true) {
                    Http.sleep(250);
                    jobs.checkTime();
                }
            });
            clock.setDaemon(true);
            clock.start();
            boolean played = body.play();
            List<String> broken = jobs.broken();
            if (!broken.isEmpty()) code = BROKEN;
            else if (played) code = HELD;
        } catch (Exception e) {
            e.printStackTrace();
            Record.say("the case failed: " + e);
        }
        Record.say(code == HELD ? "rule held" : code == BROKEN ? "rule broken" : "could not run");
        System.exit(code);
    }

    /** Starts three controllers and machines of the small deployment; false if they do not become ready. */
    static boolean startAll(Platform platform, int machines) {
        for (int i = 0; i < machines; i++) platform.addMachine("desk-node", platform.site.zones.get(i % platform.site.zones.size()), false);
        for (String member : platform.members) platform.start(member);
        if (!platform.awaitReady(30_000, platform.members.toArray(new String[0]))) {
            Record.say("the controllers are not ready");
            return false;
        }
        return true;
    }

    /** Submits services of one replica of 4 CPUs each, as `portal-web` has, and waits until all of them run. */
    static boolean fill(Platform platform, Jobs jobs, User user, int replicas) {
        for (int i = 1; i <= replicas; i++) {
            Map<String, Object> body = Jobs.standing(String.format("wk-%06d", i), "folha-ops", "portal-web", 1);
            body.put("urgency", "production");
            body.put("vcpus", 4.0);
            body.put("memoryGb", 10.0);
            Http.Answer accepted = user.submitUntilAnswered("plot-0", jobs.add(body, 0));
            if (accepted == null || accepted.status() != 201) return false;
        }
        for (int wait = 0; wait < 200; wait++) {
            double used = 0;
            for (Worker worker : platform.machines.values()) used += jobs.cpusOn(worker);
            if (used == 4.0 * replicas) return true;
            Http.sleep(100);
        }
        Record.say("the replicas do not run");
        return false;
    }
}
