import java.util.Map;
import java.util.TreeMap;

/** An array that fits on a machine which has room, and is never started, since that room is kept for replicas that nobody asks for. */
final class Trial5 {
    private static final int REPLICAS = 15;
    private static final double WAIT_S = 90;

    private Trial5() {}

    public static void main(String[] args) {
        Platform.Site site = new Platform.Site();
        Jobs jobs = new Jobs(site.cancelS);
        jobs.cpusMax.put("folha-ops", 400.0);
        Platform platform = new Platform(site, jobs);
        Trial.run(args, jobs, () -> play(platform, jobs));
    }

    private static boolean play(Platform platform, Jobs jobs) {
        // Four machines of 16 CPUs, and then a fifth, which is all that the cloud has.
        if (!Trial.startAll(platform, 4)) return false;
        Http.sleep(1_000);
        User user = new User(platform, "user");
        if (!Trial.fill(platform, jobs, user, REPLICAS)) return false;
        Worker fifth = platform.addMachine("desk-node", platform.site.zones.get(0), false);
        Http.sleep(2_500);
        Record.say("CPUs used: " + used(platform, jobs));

        // Disruption: the machine that came last stops. No task is on it.
        if (Trial.TROUBLE) {
            synchronized (platform) {
                fifth.die("machine stopped");
            }
            Record.say(fifth.id + " stops");
            Http.sleep(6_000);
        }

        Jobs.Job array = jobs.add(Jobs.sweep("wk-000100", "folha-ops", "payslip-calc", 4, 5), 5);
        Http.Answer accepted = user.submitUntilAnswered("plot-1", array);
        if (accepted == null || accepted.status() != 201) return false;
        double acceptedAt = Record.seconds();
        while (Record.seconds() < acceptedAt + WAIT_S && jobs.running(array.id) == 0 && array.done.isEmpty()) Http.sleep(500);
        Record.say("after " + String.format("%.1f", Record.seconds() - acceptedAt) + " s: " + jobs.running(array.id) + " tasks run, " + array.done.size() + " are done; CPUs used: " + used(platform, jobs));
        Record.say("poll: " + user.poll("plot-1", array.id));
        if (jobs.running(array.id) == 0 && array.done.isEmpty())
            jobs.breakRule("waits", array.id + " has waited " + WAIT_S + " s for 1 CPU for each task, while machines that fit have room: " + used(platform, jobs) + " of 16 CPUs are used");
        return true;
    }

    /** CPUs used on each machine that is up. */
    private static Map<String, Double> used(Platform platform, Jobs jobs) {
        Map<String, Double> used = new TreeMap<>();
        for (Worker worker : platform.machines.values()) if (worker.alive) used.put(worker.id, jobs.cpusOn(worker));
        return used;
    }
}
